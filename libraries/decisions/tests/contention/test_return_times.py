"""When callers that were refused are told to come again."""

from __future__ import annotations

import random
import unittest

from bamboopier_decisions.contention.return_times import ReturnTimes

MAX_SECONDS = 3.6


class ReturnTimesTests(unittest.TestCase):
    def setUp(self) -> None:
        self.times = ReturnTimes()
        self.random = random.Random(1)

    def plan(self, now: float, per_second: float = 10.0) -> float:
        return self.times.plan_return(now, per_second, MAX_SECONDS, self.random)

    def test_each_gets_a_place_behind_those_before_it(self) -> None:
        planned = [self.plan(0.0) for _ in range(5)]
        self.assertEqual([round(s, 3) for s in planned], [0.0, 0.1, 0.2, 0.3, 0.4])

    def test_places_are_not_kept_once_their_time_has_passed(self) -> None:
        """Guards against callers sent away for seconds after a crowd has left."""
        for _ in range(20):
            self.plan(0.0)
        self.assertEqual(self.plan(3.0), 0.0)

    def test_who_finds_no_place_returns_late_and_not_with_the_others(self) -> None:
        """Guards against a crowd that is told one time, and comes back together."""
        planned = [self.plan(0.0) for _ in range(200)]
        self.assertLessEqual(max(planned), MAX_SECONDS)
        beyond = planned[40:]
        self.assertGreater(min(beyond), MAX_SECONDS / 2 - 0.01)
        self.assertGreater(max(beyond) - min(beyond), 1.0)

    def test_without_a_known_rate_nobody_is_held_back(self) -> None:
        self.assertEqual([self.plan(0.0, 0.0) for _ in range(3)], [0.0] * 3)


if __name__ == "__main__":
    unittest.main()
