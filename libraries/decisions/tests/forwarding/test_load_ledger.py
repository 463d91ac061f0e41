"""Tests of the sums that the process beside a target keeps."""

from __future__ import annotations

import unittest

from bamboopier_decisions.forwarding.load_ledger import REPORT_SECONDS, LoadLedger
from bamboopier_decisions.forwarding.target_state import Load


class LoadLedgerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = LoadLedger()

    def report(
        self, now: float, gateway: str, number: int, prefill: int, started_ms: int = 1
    ) -> None:
        load = Load(1, 2 * prefill, prefill)
        self.ledger.record(now, gateway, (started_ms, number), load)

    def test_others_are_added_up_without_the_asking_one(self) -> None:
        self.report(10.0, "g-1", 1, 100)
        self.report(10.0, "g-2", 1, 200)
        self.report(10.0, "g-3", 1, 400)
        load = self.ledger.find_load(10.1, "g-2")
        self.assertEqual((load.requests, load.memory), (2, 1000))
        self.assertEqual(load.pending_prefill, 500)

    def test_a_lost_report_is_made_up_for_by_the_next(self) -> None:
        # Guards against an engine that looks busy for ever since a datagram was lost.
        self.report(10.0, "g-1", 1, 100)
        self.report(10.5, "g-1", 3, 0)
        self.assertEqual(self.ledger.find_load(10.6, "g-2").pending_prefill, 0)

    def test_a_late_report_is_dropped(self) -> None:
        self.report(10.0, "g-1", 2, 100)
        self.report(10.1, "g-1", 1, 900)
        self.assertEqual(self.ledger.find_load(10.2, "g-2").pending_prefill, 100)

    def test_a_gateway_that_restarted_replaces_its_reports(self) -> None:
        self.report(10.0, "g-1", 90, 100, started_ms=1)
        self.report(10.1, "g-1", 1, 300, started_ms=2)
        self.assertEqual(self.ledger.find_load(10.2, "g-2").pending_prefill, 300)

    def test_the_load_of_a_gateway_that_is_gone_expires(self) -> None:
        self.report(10.0, "g-1", 1, 100)
        later = 10.0 + REPORT_SECONDS
        self.assertEqual(self.ledger.find_load(later, "g-2").requests, 0)


if __name__ == "__main__":
    unittest.main()
