"""For how long the answer to a datagram is awaited."""

from __future__ import annotations

import unittest

from bamboopier_decisions.contention.answer_timeout import (
    MAX_SECONDS,
    MIN_SECONDS,
    AnswerTimeout,
)


class AnswerTimeoutTests(unittest.TestCase):
    def setUp(self) -> None:
        self.timeout = AnswerTimeout()

    def record(self, seconds: float, count: int = 20) -> None:
        for _ in range(count):
            self.timeout.record_answer(seconds)

    def test_an_idle_link_has_the_least_timeout(self) -> None:
        self.record(0.0015)
        self.assertEqual(self.timeout.seconds, MIN_SECONDS)

    def test_a_full_link_is_awaited(self) -> None:
        """Guards against a crowd whose requests are placed without known loads."""
        self.record(0.0015)
        self.record(0.025, 6)
        self.assertGreater(self.timeout.seconds, 0.025)

    def test_a_link_that_is_free_again_is_not_awaited_for_long(self) -> None:
        """Guards against requests that wait for an agent that is gone."""
        self.record(0.03)
        self.record(0.0015, 40)
        self.assertLess(self.timeout.seconds, 0.015)

    def test_callers_wait_for_a_part_of_their_objective_at_most(self) -> None:
        for seconds in (0.02, 0.1, 0.2):
            self.record(seconds)
        self.assertLessEqual(self.timeout.seconds, MAX_SECONDS)

    def test_a_suspension_says_nothing_about_the_link(self) -> None:
        self.record(0.0015)
        self.record(5.0, 3)
        self.assertEqual(self.timeout.seconds, MIN_SECONDS)


if __name__ == "__main__":
    unittest.main()
