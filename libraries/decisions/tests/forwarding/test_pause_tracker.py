"""Since when something may have waited to be read by a process that stood still."""

from __future__ import annotations

import unittest

from bamboopier_decisions.forwarding.pause_tracker import (
    CATCH_UP_SECONDS,
    PAUSE_SECONDS,
    TICK_SECONDS,
    PauseTracker,
)

# Seconds that news may look too old by: a few of the pauses after which it is read.
LONGEST_SECONDS = 4.0


class PauseTrackerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.pauses = PauseTracker(100.0)

    def run_until(self, start: float, end: float) -> None:
        """Let the process tick from ``start`` to ``end``."""
        for number in range(round((end - start) / TICK_SECONDS) + 1):
            self.pauses.record_tick(start + number * TICK_SECONDS)

    def test_a_process_that_runs_reads_news_at_once(self) -> None:
        self.run_until(100.0, 110.0)
        self.assertEqual(self.pauses.find_earliest_arrival(110.1), 110.1)

    def test_a_late_tick_is_no_pause(self) -> None:
        self.run_until(100.0, 110.0)
        self.assertEqual(self.pauses.record_tick(110.0 + PAUSE_SECONDS * 0.9), 0.0)
        self.assertEqual(self.pauses.find_earliest_arrival(110.6), 110.6)

    def test_what_is_read_after_a_pause_may_have_waited_since_it_began(self) -> None:
        # The process stands still for three seconds. The first thing it reads after
        # that may come before its tick, or a while after.
        self.run_until(100.0, 110.0)
        self.assertEqual(self.pauses.find_earliest_arrival(113.0), 110.0)
        self.assertAlmostEqual(self.pauses.record_tick(113.0), 3.0)
        self.run_until(113.0, 115.0)
        self.assertEqual(self.pauses.find_earliest_arrival(115.1), 110.0)

    def test_a_pause_is_over_once_all_that_waited_was_read(self) -> None:
        self.run_until(100.0, 110.0)
        self.run_until(113.0, 113.0 + 3.0 + CATCH_UP_SECONDS)
        self.assertEqual(self.pauses.find_earliest_arrival(117.1), 117.1)

    def test_a_pause_soon_after_another_goes_on_with_it(self) -> None:
        # What waited in the first pause may still be unread when the second begins.
        self.run_until(100.0, 110.0)
        self.run_until(113.0, 114.0)
        self.assertEqual(self.pauses.find_earliest_arrival(116.0), 110.0)
        self.pauses.record_tick(116.0)
        self.assertEqual(self.pauses.find_earliest_arrival(116.1), 110.0)

    def test_short_pauses_in_a_row_do_not_add_up_to_one_without_end(self) -> None:
        # A process stands still for 0.7 s of every two, for a minute, and reads all in
        # between. Then new weights are named: it takes them for as old as the first of
        # these pauses, and callers get 503 instead of answers on older weights, though
        # none is loaded yet. Each pause lengthens the time in which the next one
        # belongs to it, by all there were before.
        for second in range(100, 160, 2):
            self.run_until(second, second + 1.2)
        self.run_until(160.0, 160.2)
        self.assertGreater(
            self.pauses.find_earliest_arrival(160.3), 160 - LONGEST_SECONDS
        )

    def test_a_slow_process_takes_news_for_little_older_than_they_are(self) -> None:
        # Each turn of a slow event loop takes 0.2 s, so a tick comes every 0.6 s; what
        # the store tells is read 0.5 s late, as measured with such a loop over HTTP.
        # After half a minute of it newly named weights are taken for 30 s old, and
        # callers get 503 instead of answers on older weights, though none is loaded.
        for number in range(50):
            self.pauses.record_tick(100.0 + number * (PAUSE_SECONDS + 0.01))
        self.assertGreater(
            self.pauses.find_earliest_arrival(130.0), 130.0 - LONGEST_SECONDS
        )

    def test_time_in_which_the_process_paused_is_no_time_it_ran(self) -> None:
        # A process stands still for three seconds in twenty. What it measures by the
        # time it ran is seventeen seconds long, before its tick as well as after it.
        before = self.pauses.read_running_clock(100.0)
        self.run_until(100.0, 110.0)
        self.assertAlmostEqual(self.pauses.read_running_clock(113.0) - before, 10.0)
        self.pauses.record_tick(113.0)
        self.assertAlmostEqual(self.pauses.read_running_clock(113.0) - before, 10.0)
        self.run_until(113.0, 120.0)
        self.assertAlmostEqual(self.pauses.read_running_clock(120.1) - before, 17.1)

    def test_what_ends_before_a_pause_shows_looks_shorter_not_longer(self) -> None:
        # Something begins half a second into a pause, which nobody can know yet.
        self.run_until(100.0, 110.0)
        began = self.pauses.read_running_clock(110.5)
        self.pauses.record_tick(111.0)
        self.assertLessEqual(self.pauses.read_running_clock(112.0) - began, 1.5)


if __name__ == "__main__":
    unittest.main()
