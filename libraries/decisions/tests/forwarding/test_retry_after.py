"""When callers that were rejected are told to return."""

from __future__ import annotations

import math
import random
import unittest

from bamboopier_decisions.forwarding.wait_queue import draw_retry_after


class RetryAfterTests(unittest.TestCase):
    def draw(self, remaining: float, capacity_in: float) -> list[float]:
        """Return the sorted times of many callers that were rejected together."""
        generator = random.Random(1)
        return sorted(
            draw_retry_after(remaining, generator, capacity_in) for _ in range(200)
        )

    def test_callers_return_after_there_is_capacity_at_different_moments(self) -> None:
        # Guards against callers that return early in vain, or all at once when a rest
        # ends: before they can wait no longer, and after that.
        for remaining in (15.0, 8.0, 3.0):
            with self.subTest(remaining=remaining):
                times = self.draw(remaining, capacity_in=2.0)
                self.assertGreaterEqual(times[0], 2.0)
                self.assertGreater(times[-1] - times[0], 0.3)

    def test_without_a_known_time_callers_return_soon(self) -> None:
        for capacity_in in (0.0, math.inf):
            times = self.draw(10.0, capacity_in)
            self.assertGreaterEqual(times[0], 0.4)
            self.assertLessEqual(times[-1], 3.8)

    def test_a_caller_with_little_time_is_told_a_time_it_can_use(self) -> None:
        times = self.draw(0.6, capacity_in=0.0)
        self.assertLessEqual(times[-1], 0.2)


if __name__ == "__main__":
    unittest.main()
