"""What responses change about the targets that sent them."""

from __future__ import annotations

import unittest
from typing import Any, cast
from unittest import mock

from bamboopier_proxy.messages import ResponseMetadata
from bamboopier_proxy.target_reports import record_reports

from .forwarder_builders import ForwarderHarness

NOW = 100.0


class TargetReportTests(unittest.TestCase):
    def setUp(self) -> None:
        fleet = ForwarderHarness().fleet
        state = fleet.find("i-1")
        assert state is not None
        self.state = state
        self.in_flight = fleet.begin(NOW, state, None)

    def receive(self, **fields: Any) -> None:
        """Receive a response of the target with these reports."""
        values = {
            "request_id": "r1",
            "sealed": True,
            "not_run": False,
            "misdirected": False,
            "target": "i-1",
            "weight_version": 0,
            "cold_seconds": 0.0,
            **fields,
        }
        call = cast("Any", mock.Mock(prompt=None, request_id="r1"))
        with mock.patch("bamboopier_proxy.target_reports.read_clock", lambda: NOW):
            record_reports(call, self.in_flight, NOW, ResponseMetadata(**values))

    def test_every_response_of_the_instance_may_report_that_it_leaves(self) -> None:
        # Guards against an engine that leaves and is used until its entry says so.
        for fields in (
            {},
            {"not_run": True, "sealed": False},
            {"misdirected": True, "sealed": False},
        ):
            with self.subTest(**fields):
                self.setUp()
                self.receive(leaving=True, **fields)
                self.assertTrue(self.state.leaving)

    def test_another_instance_at_the_address_reports_nothing_of_this_one(self) -> None:
        for target in ("i-2", ""):
            with self.subTest(target=target):
                self.receive(leaving=True, misdirected=True, target=target)
                self.assertFalse(self.state.leaving)

    def test_a_response_that_asks_for_rest_starts_it(self) -> None:
        self.receive(not_run=True, asks_for_rest=True, rest_seconds=3.0)
        self.assertTrue(self.state.rest.is_resting(NOW + 2.9))

    def test_an_unreadable_rest_is_ignored(self) -> None:
        self.receive(not_run=True, asks_for_rest=True, rest_seconds=None)
        self.assertFalse(self.state.rest.is_resting(NOW))

    def test_only_responses_to_requests_after_a_rest_admit_more(self) -> None:
        # Guards against streams from before the rest, whose responses would let all
        # waiting requests through at its end.
        self.state.rest.record_rest(NOW, 1.0)
        for _ in range(20):
            self.receive()
        self.state.rest.record_sent()
        self.assertFalse(self.state.rest.allows_request(NOW + 1.0))


if __name__ == "__main__":
    unittest.main()
