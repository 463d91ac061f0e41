"""Tests that a process reports readiness only when it can serve requests."""

from __future__ import annotations

import json
import threading
import time
import unittest
import urllib.error
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING

import grpc
from ports import HOST
from processes import Installation, fetch

from bamboopier_protocol import agent_pb2 as pb, agent_pb2_grpc

from .builders import publish_examples

if TYPE_CHECKING:
    from collections.abc import Iterator

WAIT_TIMEOUT_SECONDS = 20.0
STATE_DELAY_SECONDS = 0.5
# Connects well within ``STATE_DELAY_SECONDS`` of the agent's start.
CHANNEL_OPTIONS = [
    ("grpc.initial_reconnect_backoff_ms", 50),
    ("grpc.max_reconnect_backoff_ms", 50),
]


class SlowStateTarget(BaseHTTPRequestHandler):
    """A target that takes ``STATE_DELAY_SECONDS`` to report its state."""

    def do_GET(self) -> None:  # noqa: N802 (the name is the library's)
        time.sleep(STATE_DELAY_SECONDS)
        body = json.dumps({"start_id": "s", "version": ""}).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        """Write nothing."""


@contextmanager
def start_slow_target() -> Iterator[str]:
    """Start a target that reports its state slowly; yield its URL."""
    with ThreadingHTTPServer((HOST, 0), SlowStateTarget) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        yield f"http://{HOST}:{server.server_port}"
        server.shutdown()


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

    def test_the_first_report_of_an_agent_follows_a_check_of_its_target(self) -> None:
        # Guards against "no target" after the start of a target's agent: a gateway that
        # asks at once would count the target as unavailable until its next poll.
        installation = self.enterContext(Installation())
        installation.start_platform()
        installation.targets["desk-1"] = self.enterContext(start_slow_target())
        installation.start_agent("desk-1", "fault-desk", "dc-east")
        address = installation.vms[0]["address"]
        with grpc.insecure_channel(address, CHANNEL_OPTIONS) as channel:
            stub = agent_pb2_grpc.AgentStub(channel)
            report = stub.Report(
                pb.ReportRequest(), timeout=WAIT_TIMEOUT_SECONDS, wait_for_ready=True
            )
        self.assertTrue(report.accepting)

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
