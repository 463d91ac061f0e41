"""Tests of how long input may have waited for a process that was paused."""

from __future__ import annotations

import unittest

from bamboopier_decisions.forwarding.pause_tracker import (
    CATCH_UP_SECONDS,
    PAUSE_SECONDS,
    TICK_SECONDS,
    PauseTracker,
)

# Seconds by which an age may be overestimated: a few of the pauses after which the
# input is read.
MAX_EXCESS_SECONDS = 4.0


class PauseTrackerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.pauses = PauseTracker(100.0)

    def run_until(self, start: float, end: float) -> None:
        """Record the ticks of a running process from ``start`` to ``end``."""
        for number in range(round((end - start) / TICK_SECONDS) + 1):
            self.pauses.record_tick(start + number * TICK_SECONDS)

    def test_input_of_a_running_process_has_just_arrived(self) -> None:
        self.run_until(100.0, 110.0)
        self.assertEqual(self.pauses.find_earliest_arrival(110.1), 110.1)

    def test_a_late_tick_is_not_a_pause(self) -> None:
        self.run_until(100.0, 110.0)
        self.assertEqual(self.pauses.record_tick(110.0 + PAUSE_SECONDS * 0.9), 0.0)
        self.assertEqual(self.pauses.find_earliest_arrival(110.6), 110.6)

    def test_input_read_after_a_pause_may_have_waited_since_its_start(self) -> None:
        # The process is paused for three seconds. The first input it reads after that
        # may come before its tick, or a while after.
        self.run_until(100.0, 110.0)
        self.assertEqual(self.pauses.find_earliest_arrival(113.0), 110.0)
        self.assertAlmostEqual(self.pauses.record_tick(113.0), 3.0)
        self.run_until(113.0, 115.0)
        self.assertEqual(self.pauses.find_earliest_arrival(115.1), 110.0)

    def test_a_pause_ends_once_all_waiting_input_was_read(self) -> None:
        self.run_until(100.0, 110.0)
        self.run_until(113.0, 113.0 + 3.0 + CATCH_UP_SECONDS)
        self.assertEqual(self.pauses.find_earliest_arrival(117.1), 117.1)

    def test_what_lay_in_a_socket_is_read_soon_after_a_pause(self) -> None:
        # Guards against requests that arrive after a pause and count as old.
        self.run_until(100.0, 110.0)
        self.assertEqual(self.pauses.find_unread_since(110.1), 110.1)
        self.assertEqual(self.pauses.find_unread_since(113.0), 110.0)
        self.run_until(113.0, 113.0 + CATCH_UP_SECONDS)
        self.assertEqual(self.pauses.find_unread_since(113.9), 110.0)
        self.assertEqual(self.pauses.find_unread_since(114.1), 114.1)

    def test_a_pause_soon_after_another_continues_it(self) -> None:
        # Input that waited in the first pause may still be unread when the second
        # starts.
        self.run_until(100.0, 110.0)
        self.run_until(113.0, 114.0)
        self.assertEqual(self.pauses.find_earliest_arrival(116.0), 110.0)
        self.pauses.record_tick(116.0)
        self.assertEqual(self.pauses.find_earliest_arrival(116.1), 110.0)

    def test_repeated_short_pauses_do_not_add_up_without_bound(self) -> None:
        # Guards against ages that grow without bound. A process is paused for 0.7 s of
        # every two, for a minute, and reads all input in between. Then new weights are
        # published. If each pause extends the time in which the next one counts as its
        # continuation, the weights count as old as the first of these pauses, and
        # callers get 503 instead of responses with older weights, though no engine has
        # loaded the new ones yet.
        for second in range(100, 160, 2):
            self.run_until(second, second + 1.2)
        self.run_until(160.0, 160.2)
        self.assertGreater(
            self.pauses.find_earliest_arrival(160.3), 160 - MAX_EXCESS_SECONDS
        )

    def test_a_slow_process_overestimates_ages_only_slightly(self) -> None:
        # Guards against ages that grow without bound in a slow process. Each iteration
        # of a slow event loop takes 0.2 s, so a tick comes every 0.6 s; updates of the
        # store are read 0.5 s late, as measured with such a loop over HTTP. After half
        # a minute newly published weights count as 30 s old, and callers get 503
        # instead of responses with older weights, though no engine has loaded the new
        # ones.
        for number in range(50):
            self.pauses.record_tick(100.0 + number * (PAUSE_SECONDS + 0.01))
        self.assertGreater(
            self.pauses.find_earliest_arrival(130.0), 130.0 - MAX_EXCESS_SECONDS
        )

    def test_the_running_clock_excludes_pauses(self) -> None:
        # A process is paused for three seconds in twenty. A duration measured with the
        # running clock is seventeen seconds, before its tick as well as after it.
        before = self.pauses.read_running_clock(100.0)
        self.run_until(100.0, 110.0)
        self.assertAlmostEqual(self.pauses.read_running_clock(113.0) - before, 10.0)
        self.pauses.record_tick(113.0)
        self.assertAlmostEqual(self.pauses.read_running_clock(113.0) - before, 10.0)
        self.run_until(113.0, 120.0)
        self.assertAlmostEqual(self.pauses.read_running_clock(120.1) - before, 17.1)

    def test_an_undetected_pause_makes_durations_shorter_not_longer(self) -> None:
        # A duration starts half a second into a pause, which cannot be detected yet.
        self.run_until(100.0, 110.0)
        began = self.pauses.read_running_clock(110.5)
        self.pauses.record_tick(111.0)
        self.assertLessEqual(self.pauses.read_running_clock(112.0) - began, 1.5)


if __name__ == "__main__":
    unittest.main()
