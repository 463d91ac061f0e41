"""Estimated speeds follow the link, and recover when nothing is measured."""

from __future__ import annotations

import unittest

from bamboopier_decisions.context.rates import RECOVERY_SECONDS, MeasuredRate


class MeasuredRateTests(unittest.TestCase):
    def test_timeouts_reduce_a_rate_and_idle_time_restores_it(self) -> None:
        rate = MeasuredRate(100.0, 100.0)
        for now in range(4):
            rate.record_timeout(float(now), 50.0, 1.0)
        low = rate.estimate(3.0)
        self.assertLess(low, 10.0)
        self.assertAlmostEqual(rate.estimate(3.0 + RECOVERY_SECONDS), 2 * low)
        self.assertEqual(rate.estimate(1e6), 100.0)

    def test_a_rate_follows_its_measurements(self) -> None:
        rate = MeasuredRate(100.0, 100.0)
        for now in range(20):
            rate.record(float(now), 400.0, 1.0)
        self.assertGreater(rate.estimate(20.0), 390.0)
