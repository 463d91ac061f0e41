"""Tests the quarantine of a request that crashes every engine that runs it.

Each crash costs an engine its cache and its connections. The gateway retries on one
further engine but not on a third. From then on every gateway refuses the request,
including those that never received it, while other requests are served.
"""

from __future__ import annotations

import time
import unittest
from typing import TYPE_CHECKING

from processes import Installation

from .builders import call, publish_examples

if TYPE_CHECKING:
    from .builders import Response

ENGINES = tuple(f"desk-{number}" for number in range(1, 5))
CRASHING = {"model": "pillar-8b", "prompt": "pillar !crash! A46", "max_tokens": 2}
HEALTHY = {"model": "pillar-8b", "prompt": "pillar works A46", "max_tokens": 2}
ATTEMPTS = 5
WAIT_TIMEOUT_SECONDS = 20.0


class QuarantineTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.installation = cls.enterClassContext(Installation())
        cls.installation.start_platform()
        for name in ENGINES:
            cls.installation.start_target(name, "engine", "fault-desk", "dc-east")
        for name in ("gateway-1", "gateway-2"):
            cls.installation.start_gateway(name, "dc-east")
        publish_examples(cls.installation)
        cls.installation.wait_until_ready()

    def test_a_crashing_request_runs_on_two_engines_at_most(self) -> None:
        first = self._send("gateway-1", CRASHING)
        self.assertEqual((first.status, first.error["ran"]), (502, "unknown"))
        self.assertEqual(self._count_runs(), 2)
        for _ in range(ATTEMPTS):
            again = self._send("gateway-1", CRASHING)
            self.assertEqual((again.status, again.error["code"]), (422, "quarantined"))
            self.assertEqual(again.error["ran"], "no")
            self.assertIn("Retry-After", again.headers)
        self._wait_until_quarantine_received("gateway-2")
        for _ in range(ATTEMPTS):
            other = self._send("gateway-2", CRASHING)
            self.assertEqual(other.error["code"], "quarantined")
        self.assertEqual(self._count_runs(), 2)
        self.assertEqual(self._send("gateway-2", HEALTHY).status, 200)
        self.assertEqual(self._count_runs(), 3)

    def _send(self, gateway: str, body: object) -> Response:
        url = self.installation.gateways[gateway]
        return call(url, "POST", "/v1/completions", body)

    def _count_runs(self) -> int:
        return sum(len(self.installation.read_target_log(name)) for name in ENGINES)

    def _wait_until_quarantine_received(self, gateway: str) -> None:
        daemon = self.installation.daemons[gateway]
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            events = [line["event"] for line in daemon.read_log()]
            if "quarantine updated" in events:
                return
            time.sleep(0.05)
        self.fail(f"{gateway} did not receive the quarantine")
