"""Tests of which targets count for a version, and which are polled."""

from __future__ import annotations

import unittest

from bamboopier_decisions.routing.messages import Distance, TargetView
from bamboopier_gateway.target_reports import TargetReports
from bamboopier_protocol import agent_pb2 as pb

DESKS = ("desk-1", "desk-2", "desk-3")


def make_report(version: str, accepting: bool = True) -> pb.LoadReport:
    """Return a target's load report."""
    return pb.LoadReport(weight_version=version, accepting=accepting)


class TargetReportsTests(unittest.TestCase):
    def setUp(self) -> None:
        self.reports = TargetReports()
        self.set_targets()

    def set_targets(self) -> None:
        views = [TargetView(d, "desk", Distance.SAME_REGION) for d in DESKS]
        self.reports.set_targets(views, {"desk": frozenset({"v2"})})

    def test_closed_and_lost_targets_do_not_count_for_a_version(self) -> None:
        """Two targets with the old version are loading or lost; one remains.

        If they counted, requests would be made for a version that few targets serve,
        and those would be refused.
        """
        self.reports.record("desk-1", make_report("v1"))
        self.reports.record("desk-2", make_report("v1", accepting=False))
        self.reports.record("desk-3", make_report("v1"))
        self.reports.record("desk-3", None)
        self.assertEqual(self.reports.list_versions("desk"), ["v1"])

    def test_targets_without_requests_are_polled_in_turn(self) -> None:
        """Without polls, a target that accepts requests again would stay unused."""
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
