"""Since when something may have waited to be read by a process that stood still."""

from __future__ import annotations

import unittest

from bamboopier_decisions.forwarding.pauses import (
    CATCH_UP_SECONDS,
    PAUSE_SECONDS,
    TICK_SECONDS,
    Pauses,
)


class PauseTests(unittest.TestCase):
    def setUp(self) -> None:
        self.pauses = Pauses(100.0)

    def run_until(self, start: float, end: float) -> None:
        """Let the process tick from ``start`` to ``end``."""
        for number in range(round((end - start) / TICK_SECONDS) + 1):
            self.pauses.note_tick(start + number * TICK_SECONDS)

    def test_a_process_that_runs_reads_news_at_once(self) -> None:
        self.run_until(100.0, 110.0)
        self.assertEqual(self.pauses.find_unread_since(110.1), 110.1)

    def test_a_late_tick_is_no_pause(self) -> None:
        self.run_until(100.0, 110.0)
        self.assertEqual(self.pauses.note_tick(110.0 + PAUSE_SECONDS * 0.9), 0.0)
        self.assertEqual(self.pauses.find_unread_since(110.6), 110.6)

    def test_what_is_read_after_a_pause_may_have_waited_since_it_began(self) -> None:
        # The process stands still for three seconds. The first thing it reads after
        # that may come before its tick, or a while after.
        self.run_until(100.0, 110.0)
        self.assertEqual(self.pauses.find_unread_since(113.0), 110.0)
        self.assertAlmostEqual(self.pauses.note_tick(113.0), 3.0)
        self.run_until(113.0, 115.0)
        self.assertEqual(self.pauses.find_unread_since(115.1), 110.0)

    def test_a_pause_is_over_once_all_that_waited_was_read(self) -> None:
        self.run_until(100.0, 110.0)
        self.run_until(113.0, 113.0 + 3.0 + CATCH_UP_SECONDS)
        self.assertEqual(self.pauses.find_unread_since(117.1), 117.1)

    def test_a_pause_soon_after_another_goes_on_with_it(self) -> None:
        # What waited in the first pause may still be unread when the second begins.
        self.run_until(100.0, 110.0)
        self.run_until(113.0, 114.0)
        self.assertEqual(self.pauses.find_unread_since(116.0), 110.0)
        self.pauses.note_tick(116.0)
        self.assertEqual(self.pauses.find_unread_since(116.1), 110.0)


if __name__ == "__main__":
    unittest.main()
