"""Tests of the exchange of stalled targets between gateways."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from unittest import mock

from bamboopier_decisions.forwarding.fleet import Fleet, InFlightRequest
from bamboopier_proxy import stall_reports
from bamboopier_proxy.hints import LoadHint, decode, encode
from bamboopier_proxy.load_hints import LoadHints
from bamboopier_proxy.stall_reports import StallReports

from .forwarder_builders import make_declared, make_entry

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.target_state import TargetState


class StallReportTests(unittest.TestCase):
    def setUp(self) -> None:
        patch = mock.patch.object(stall_reports, "log")
        self.log = patch.start()
        self.addCleanup(patch.stop)
        self.sent, self.received = self.make_fleet(), self.make_fleet()

    def make_fleet(self) -> Fleet:
        """Return a fleet with one target."""
        fleet = Fleet()
        fleet.set_services(make_declared().services)
        fleet.put(0.0, make_entry())
        return fleet

    def find_target(self, fleet: Fleet) -> TargetState:
        """Return the only target."""
        state = fleet.find(fleet.names[0])
        assert state is not None
        return state

    def begin(self, now: float) -> InFlightRequest:
        """Send a request from the reporting gateway."""
        in_flight = self.sent.begin(now, self.find_target(self.sent), None)
        in_flight.record_sent(now)
        return in_flight

    def deliver(self, now: float) -> StallReports:
        """Deliver the hints of the reporting gateway, encoded as on the network."""
        hint = LoadHint("g-1", 1, 1, LoadHints(self.sent).list_loads(now), [])
        decoded = decode(encode(hint))
        assert isinstance(decoded, LoadHint)
        reports = StallReports(self.received)
        reports.apply(now, decoded.loads)
        return reports

    def is_allowed(self, now: float) -> bool:
        """Return whether the receiving gateway may send to the target."""
        return self.find_target(self.received).stall_detector.allows_request(now)

    def test_a_stall_reaches_other_gateways_and_is_logged_once(self) -> None:
        # Guards against gateways of which each sends requests to a suspended engine
        # until it has detected the stall by itself.
        self.begin(1.0)
        self.deliver(1.2)
        self.assertTrue(self.is_allowed(1.2))
        reports = self.deliver(1.5)
        self.assertFalse(self.is_allowed(1.5))
        for now in (1.5, 1.6):
            reports.log_changes(now)
        self.log.warning.assert_called_once()
        reports.log_changes(3.0)
        self.log.info.assert_called_once()

    def test_a_response_to_one_gateway_ends_the_silence_at_another(self) -> None:
        # Guards against a gateway whose only request to a target got no response, and
        # which avoids that target for seconds although it responds to others.
        detector = self.find_target(self.received).stall_detector
        detector.record_sent(1.0)
        detector.record_end(2.0, running=False)
        self.assertFalse(self.is_allowed(2.1))
        in_flight = self.begin(2.1)
        in_flight.record_byte(2.2)
        in_flight.record_closed(2.2)
        self.sent.end(in_flight)
        self.deliver(2.3)
        self.assertTrue(self.is_allowed(2.3))


if __name__ == "__main__":
    unittest.main()
