"""Tests of how fast a gateway takes engines to be."""

from __future__ import annotations

import random
import unittest

from bamboopier_decisions.forwarding.prefill_rate import INITIAL_PER_SECOND, PrefillRate


def observe(rate: PrefillRate, per_second: float, base: float, count: int) -> None:
    """Let prompts of very different lengths be prefilled at a true speed."""
    generator = random.Random(3)
    for _ in range(count):
        tokens = generator.choice([200, 400, 9_000, 12_000])
        noise = generator.uniform(0.9, 1.1)
        rate.record_first_byte(tokens, base + tokens / per_second * noise)


class PrefillRateTests(unittest.TestCase):
    def test_the_speed_and_the_base_latency_are_found(self) -> None:
        # Guards against limits in tokens that fit one model of engine only.
        for factor in (0.25, 0.5, 2.0, 4.0):
            with self.subTest(factor=factor):
                rate = PrefillRate()
                observe(rate, factor * INITIAL_PER_SECOND, 0.15, 400)
                found = rate.per_second / (factor * INITIAL_PER_SECOND)
                self.assertAlmostEqual(found, 1.0, delta=0.3)
                self.assertAlmostEqual(rate.base_seconds, 0.15, delta=0.05)

    def test_one_late_first_byte_changes_little(self) -> None:
        # Guards against an engine that is suspended once and counts as slow from then
        # on, so that idle engines get nothing.
        rate = PrefillRate()
        observe(rate, INITIAL_PER_SECOND, 0.08, 200)
        before = rate.per_second
        rate.record_first_byte(12_000, 30.0)
        self.assertGreater(rate.per_second, 0.9 * before)
        observe(rate, INITIAL_PER_SECOND, 0.08, 30)
        self.assertGreater(rate.per_second, 0.8 * before)


if __name__ == "__main__":
    unittest.main()
