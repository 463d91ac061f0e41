"""Tests graceful and forced shutdown of gateways, agents and targets."""

from __future__ import annotations

import signal
import time
import unittest

from processes import Installation

from .builders import call
from .fleet_builders import (
    LongStream,
    Traffic,
    build_fleet,
    explain_refusals,
    list_started,
    request_completion,
    wait_until,
)

EAST, WEST = "desk-east", "desk-west"
STREAMS = 6


class GracefulTests(unittest.TestCase):
    def setUp(self) -> None:
        self.installation = self.enterContext(Installation())
        engines = {EAST: "dc-east", WEST: "dc-west"}
        gateways = {"gateway-1": "dc-east", "gateway-2": "dc-west"}
        build_fleet(self.installation, engines, gateways)
        self.urls = list(self.installation.gateways.values())

    def start_streams(self) -> list[LongStream]:
        return [
            LongStream(self.urls[0], f"history {number}", 500)
            for number in range(STREAMS)
        ]

    def check_complete(self, streams: list[LongStream]) -> None:
        for stream in streams:
            stream.join()
            self.assertEqual((stream.status, stream.is_complete), (200, True))

    def count_at(self, target: str, streams: list[LongStream]) -> int:
        log = self.installation.read_target_log(target)
        ran = {entry.get("request_id") for entry in log}
        return sum(stream.request_id in ran for stream in streams)

    def test_a_gateway_finishes_streams_and_refuses_new_requests(self) -> None:
        """A gateway gets SIGTERM with streams open, and a late request arrives.

        The streams complete, the late caller gets a typed refusal with "not run" and a
        Retry-After header, and the process exits with 0.
        """
        streams = self.start_streams()
        gateway = self.installation.daemons["gateway-1"]
        gateway.send(signal.SIGTERM)
        wait_until(
            lambda: request_completion(self.urls[0], "late?").status == 503,
            "late caller refused",
        )
        response = request_completion(self.urls[0], "late?")
        self.assertEqual(response.error["code"], "stopping")
        self.assertEqual(response.error["ran"], "no")
        self.assertIn("Retry-After", response.headers)
        self.check_complete(streams)
        self.assertEqual(gateway.process.wait(20), 0)

    def test_an_agent_finishes_streams_while_new_work_goes_elsewhere(self) -> None:
        """An agent gets SIGTERM while streams are open and requests keep arriving."""
        with Traffic(self.urls) as traffic:
            streams = self.start_streams()
            self.assertGreater(self.count_at(EAST, streams), 0)
            agent = self.installation.daemons[f"{EAST}-agent"]
            agent.send(signal.SIGTERM)
            self.check_complete(streams)
            self.assertEqual(agent.process.wait(20), 0)
            stopped = time.monotonic()
            traffic.wait_for_responses(10)
        self.assertEqual(list_started(self.installation, EAST, stopped), [])
        refusals = explain_refusals(self.installation, traffic)
        self.assertEqual(traffic.statuses, {200}, refusals)

    def test_a_target_finishes_streams_while_new_work_goes_elsewhere(self) -> None:
        """A stopping engine accepts no new connections and completes its requests."""
        with Traffic(self.urls) as traffic:
            streams = self.start_streams()
            self.assertGreater(self.count_at(EAST, streams), 0)
            target = self.installation.daemons[f"{EAST}-target"]
            target.send(signal.SIGTERM)
            self.check_complete(streams)
            self.assertEqual(target.process.wait(20), 0)
            traffic.wait_for_responses(10)
        refusals = explain_refusals(self.installation, traffic)
        self.assertEqual(traffic.statuses, {200}, refusals)


class ForcedTests(unittest.TestCase):
    """Tests with a single target, so that no request can be rerouted."""

    def setUp(self) -> None:
        self.installation = self.enterContext(Installation())

    def build(self, **agent: object) -> str:
        gateways = {"gateway-1": "dc-east"}
        build_fleet(self.installation, {EAST: "dc-east"}, gateways, agent)
        return self.installation.gateways["gateway-1"]

    def check_unknown_outcome(self, stream: LongStream) -> None:
        """Check that the stream is incomplete and reports an unknown outcome."""
        stream.join()
        self.assertFalse(stream.is_complete)
        self.assertIn(b'"code":"outcome_unknown"', stream.body)
        self.assertIn(b'"ran":"unknown"', stream.body)

    def check_exit(self, name: str, reason: str) -> None:
        """Check that the process exited with 0 and logged why it cut requests."""
        daemon = self.installation.daemons[name]
        self.assertEqual(daemon.process.wait(20), 0)
        cut = [line for line in daemon.read_log() if line["event"] == "requests cut"]
        self.assertEqual([line["reason"] for line in cut], [reason])

    def test_an_agent_exits_cleanly_after_its_shutdown_timeout(self) -> None:
        """A stream exceeds the shutdown timeout; its caller is notified of the cut."""
        url = self.build(shutdown_timeout_seconds=0.5)
        stream = LongStream(url, "history", 2000)
        self.installation.daemons[f"{EAST}-agent"].send(signal.SIGTERM)
        self.check_unknown_outcome(stream)
        self.check_exit(f"{EAST}-agent", "timeout")

    def test_a_second_signal_ends_an_agent_at_once(self) -> None:
        url = self.build()
        stream = LongStream(url, "history", 2000)
        agent = self.installation.daemons[f"{EAST}-agent"]
        agent.send(signal.SIGTERM)
        wait_until(
            lambda: any(line["event"] == "agent stopping" for line in agent.read_log()),
            "agent stopping",
        )
        agent.send(signal.SIGTERM)
        self.check_unknown_outcome(stream)
        self.check_exit(f"{EAST}-agent", "second-signal")

    def test_a_second_signal_ends_a_gateway_at_once(self) -> None:
        """A stream is open at the gateway; its caller is notified of the cut."""
        url = self.build()
        stream = LongStream(url, "history", 2000)
        gateway = self.installation.daemons["gateway-1"]
        gateway.send(signal.SIGTERM)
        wait_until(
            lambda: any(
                line["event"] == "gateway stopping" for line in gateway.read_log()
            ),
            "gateway stopping",
        )
        gateway.send(signal.SIGTERM)
        self.check_unknown_outcome(stream)
        self.check_exit("gateway-1", "second-signal")
        with self.assertRaises(OSError):
            call(url, "GET", "/v1/status")
