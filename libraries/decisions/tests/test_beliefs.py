"""What is measured and believed ends when it is no longer true."""

from __future__ import annotations

import unittest

from bamboopier_decisions.context.rates import RECOVERY_SECONDS, MeasuredRate
from bamboopier_decisions.context.resident import BELIEF_SECONDS, ResidentKeys
from bamboopier_decisions.context.store_health import MAX_PAUSE, StoreHealth


class BeliefTests(unittest.TestCase):
    def test_late_transfers_cut_a_rate_and_idle_time_restores_it(self) -> None:
        rate = MeasuredRate(100.0, 100.0)
        for now in range(4):
            rate.add_late(float(now), 50.0, 1.0)
        low = rate.estimate(3.0)
        self.assertLess(low, 10.0)
        self.assertAlmostEqual(rate.estimate(3.0 + RECOVERY_SECONDS), 2 * low)
        self.assertEqual(rate.estimate(1e6), 100.0)

    def test_a_rate_follows_its_measurements(self) -> None:
        rate = MeasuredRate(100.0, 100.0)
        for now in range(20):
            rate.add(float(now), 400.0, 1.0)
        self.assertGreater(rate.estimate(20.0), 390.0)

    def test_a_belief_lasts_no_longer_than_its_bound(self) -> None:
        resident = ResidentKeys()
        resident.confirm(0.0, [b"a", b"b", b"c"])
        resident.confirm(10.0, [b"a"])
        resident.forget(b"c")
        keys = [b"a", b"b", b"c"]
        self.assertEqual(resident.count_prefix(1.0, keys), 2)
        self.assertEqual(resident.count_prefix(BELIEF_SECONDS + 1, keys), 1)
        self.assertEqual(resident.count_prefix(BELIEF_SECONDS + 11, keys), 0)

    def test_an_absent_block_ends_the_belief_in_all_older_ones(self) -> None:
        resident = ResidentKeys()
        for now, key in enumerate((b"old", b"gone", b"new")):
            resident.confirm(float(now), [key])
        resident.note_absent(b"gone")
        self.assertEqual(len(resident), 1)
        self.assertEqual(resident.count_prefix(3.0, [b"new"]), 1)

    def test_pauses_double_up_to_a_bound_and_end_with_an_answer(self) -> None:
        health = StoreHealth()
        now = 0.0
        for _ in range(10):
            health.add_failure(now, "s")
            start = now
            while health.is_paused(now, "s"):
                now += 0.5
        self.assertEqual(now - start, MAX_PAUSE)
        health.add_failure(now, "s")
        health.add_answer("s")
        self.assertFalse(health.is_paused(now, "s"))
