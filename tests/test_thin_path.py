"""Tests the complete request path through real processes."""

from __future__ import annotations

import os
import unittest
from contextlib import suppress

from processes import Installation

from .builders import DESK, VANS, build_small_installation, call, dispatch_van

PROMPT = " ".join(f"visit-{n}" for n in range(50))


class ThinPathTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.installation = cls.enterClassContext(Installation())
        build_small_installation(cls.installation, gateways=2)
        cls.url = cls.installation.gateways["gateway-1"]
        cls.other_url = cls.installation.gateways["gateway-2"]

    def test_a_streamed_completion_arrives_complete(self) -> None:
        body = {"model": "pillar-8b", "prompt": PROMPT, "max_tokens": 5, "stream": True}
        response = call(self.url, "POST", "/v1/completions", body)
        self.assertEqual(response.status, 200)
        self.assertIn(b"visit-49.4", response.body)
        self.assertTrue(response.body.endswith(b"data: [DONE]\n\n"))

    def test_a_completion_without_streaming_arrives(self) -> None:
        body = {"model": "pillar-8b", "prompt": PROMPT, "max_tokens": 5}
        response = call(self.url, "POST", "/v1/completions", body)
        self.assertEqual(response.status, 200)
        self.assertIn(b"visit-49.4", response.body)

    def test_a_dispatch_repeated_at_another_gateway_runs_once(self) -> None:
        first = dispatch_van(self.url, "once")
        second = dispatch_van(self.other_url, "once")
        self.assertEqual((first.status, second.status), (201, 201))
        self.assertEqual(first.body, second.body)
        self.assertEqual(second.headers["X-Replayed"], "true")
        log = self.installation.read_target_log(VANS)
        self.assertEqual(sum("A46-117" in entry["body"] for entry in log), 1)

    def test_a_key_used_for_another_dispatch_is_refused(self) -> None:
        dispatch_van(self.url, "reused", "M6-1")
        response = dispatch_van(self.url, "reused", "M6-2")
        self.assertEqual(response.status, 422)
        self.assertEqual(response.error["code"], "idempotency_key_reused")

    def test_an_unknown_api_key_is_refused(self) -> None:
        response = call(self.url, "GET", "/services/dispatch/boxes/7", key="wrong")
        self.assertEqual(response.status, 401)
        self.assertEqual(response.error["ran"], "no")

    def test_no_daemon_holds_io_uring_shared_memory_or_children(self) -> None:
        # uvloop opens an io_uring instance by default, which the requirements forbid.
        for name, daemon in self.installation.daemons.items():
            if not name.startswith("gateway") and not name.endswith("agent"):
                continue
            pid = daemon.process.pid
            folder = f"/proc/{pid}/fd"
            links = list_links(folder)
            self.assertFalse([link for link in links if "io_uring" in link], name)
            self.assertFalse([link for link in links if "/dev/shm" in link], name)
            with open(f"/proc/{pid}/maps") as maps:
                self.assertNotIn("/dev/shm", maps.read(), name)
            with open(f"/proc/{pid}/task/{pid}/children") as children:
                self.assertEqual(children.read(), "", name)

    def test_the_engine_receives_each_request_once(self) -> None:
        log = self.installation.read_target_log(DESK)
        ids = [entry["request_id"] for entry in log]
        self.assertEqual(len(ids), len(set(ids)))


def list_links(folder: str) -> list[str]:
    """Return the link targets of a daemon's file descriptors.

    A descriptor that is closed after the listing is skipped.
    """
    links = []
    for name in os.listdir(folder):
        with suppress(FileNotFoundError):
            links.append(os.readlink(f"{folder}/{name}"))
    return links
