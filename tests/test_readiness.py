"""Tests that a process reports readiness only when it can serve requests."""

from __future__ import annotations

import time
import unittest
import urllib.error

from processes import Installation, fetch

from .builders import publish_examples

WAIT_TIMEOUT_SECONDS = 20.0


class ReadinessTests(unittest.TestCase):
    def test_a_gateway_without_a_vm_list_is_not_ready(self) -> None:
        # A gateway starts with a configuration but without a VM list. If the load
        # balancer sent requests to it, each would be refused for want of a target.
        installation = self.enterContext(Installation())
        installation.start_platform()
        publish_examples(installation)
        installation.vm_list_frozen = True
        installation.start_gateway("gateway-1", "dc-east")
        self.wait_for_generation(installation.admin["gateway-1"])
        self.assertFalse(self.is_ready(installation.admin["gateway-1"]))
        installation.vm_list_frozen = False
        installation.put_vms()
        installation.wait_until_ready()

    def is_ready(self, url: str) -> bool:
        try:
            fetch(f"{url}/readyz")
        except urllib.error.URLError:
            return False
        return True

    def wait_for_generation(self, url: str) -> None:
        """Wait until the process has a configuration."""
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            try:
                if (
                    "bamboopier_configuration_generation 1.0"
                    in fetch(f"{url}/metrics").decode()
                ):
                    return
            except urllib.error.URLError:
                pass
            time.sleep(0.05)
        self.fail("no configuration")
