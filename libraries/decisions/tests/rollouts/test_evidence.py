"""Sums of the cumulative counts that gateways report."""

from __future__ import annotations

import unittest

from bamboopier_decisions.rollouts.evidence import (
    AnswerCounts,
    AnswerKey,
    EvidencePool,
)

KEY = AnswerKey("orders", 0)


class EvidencePoolTests(unittest.TestCase):
    def setUp(self) -> None:
        self.pool = EvidencePool()

    def report(self, failed: int, gateway: str = "a", started_ms: int = 1) -> None:
        self.pool.record(gateway, started_ms, {KEY: AnswerCounts(failed)})

    def take(self) -> int:
        evidence = self.pool.take()
        return evidence[KEY].failed if KEY in evidence else 0

    def test_a_lost_report_is_made_up_for_by_the_next(self) -> None:
        self.report(2)
        self.report(7)
        self.assertEqual(self.take(), 7)

    def test_answers_count_once(self) -> None:
        self.report(2)
        self.take()
        self.report(2)
        self.assertEqual(self.take(), 0)

    def test_gateways_add_up(self) -> None:
        self.report(2)
        self.report(3, "b")
        self.assertEqual(self.take(), 5)

    def test_an_overtaken_report_changes_nothing(self) -> None:
        self.report(5)
        self.report(4)
        self.assertEqual(self.take(), 5)

    def test_a_restarted_gateway_counts_anew(self) -> None:
        """Guards against answers that are missed or subtracted after a restart."""
        self.report(5)
        self.report(1, started_ms=2)
        self.report(6)
        self.assertEqual(self.take(), 6)
