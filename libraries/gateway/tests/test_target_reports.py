"""Which targets count for a version, and which are asked again."""

from __future__ import annotations

import unittest

from bamboopier_decisions.routing.messages import Distance, TargetView
from bamboopier_gateway.target_reports import TargetReports
from bamboopier_protocol import agent_pb2 as pb

DESKS = ("desk-1", "desk-2", "desk-3")


def make_report(version: str, accepting: bool = True) -> pb.LoadReport:
    """Return what a target says of itself."""
    return pb.LoadReport(weight_version=version, accepting=accepting)


class TargetReportsTests(unittest.TestCase):
    def setUp(self) -> None:
        self.reports = TargetReports()
        self.set_targets()

    def set_targets(self) -> None:
        views = [TargetView(d, "desk", Distance.SAME_REGION) for d in DESKS]
        self.reports.set_targets(views, {"desk": frozenset({"v2"})})

    def test_closed_and_lost_targets_do_not_count_for_a_version(self) -> None:
        """Two targets with the old version load or died; one is left.

        Counted, they would draw requests for a version that hardly anyone serves, and
        those would be refused.
        """
        self.reports.record("desk-1", make_report("v1"))
        self.reports.record("desk-2", make_report("v1", accepting=False))
        self.reports.record("desk-3", make_report("v1"))
        self.reports.record("desk-3", None)
        self.assertEqual(self.reports.list_versions("desk"), ["v1"])

    def test_targets_without_requests_are_polled_in_turn(self) -> None:
        """Without being asked, a target that opens again would stay unused for ever."""
        self.reports.record("desk-1", make_report("v2"))
        self.reports.record("desk-2", make_report("v1", accepting=False))
        self.reports.record("desk-3", make_report("v1"))
        self.set_targets()
        polled = [self.reports.find_poll_target() for _ in range(4)]
        self.assertEqual(polled, ["desk-2", "desk-3", "desk-2", "desk-3"])
        for desk in DESKS:
            self.reports.record(desk, None)
        polled = []
        for _ in DESKS:
            polled.append(self.reports.find_poll_target())
            self.set_targets()
        self.assertEqual(sorted(polled), sorted(DESKS))
        for desk in DESKS:
            self.reports.record(desk, make_report("v2"))
        self.assertIsNone(self.reports.find_poll_target())
