"""Which attempts at stalled targets are ended, and why."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

from bamboopier_proxy.attempt_result import Cause
from bamboopier_proxy.stall_monitor import (
    CHECK_INTERVAL_SECONDS,
    MonitoredAttempt,
    StallMonitor,
)

STARTED_AT = 1000.0
PATIENCE_SECONDS = 3.2


class StallMonitorTests(unittest.TestCase):
    def setUp(self) -> None:
        self.now = STARTED_AT
        with mock.patch("bamboopier_proxy.stall_monitor.read_clock", lambda: self.now):
            self.monitor = StallMonitor()
        self.stalled = True
        # Seconds for which the target has been silent, unusual or not.
        self.silence = 0.0

    def start(
        self, *, movable: bool, moved: bool = False, **delivery: Any
    ) -> MonitoredAttempt:
        """Start an attempt whose target sends nothing from now on."""
        call = mock.Mock(
            leaves_at=self.now + PATIENCE_SECONDS, unread_seconds=0.0, moved=moved
        )
        in_flight = mock.Mock(last_byte_at=self.now)
        in_flight.state.entry.name = "i-1"
        detector = in_flight.state.stall_detector
        detector.is_stalled.side_effect = lambda _: self.stalled
        detector.find_silence.return_value = 0.0
        detector.find_delay.side_effect = lambda _: self.silence
        fields = {"started": False, "is_writing": False, **delivery}
        attempt = MonitoredAttempt(
            call,
            in_flight,
            mock.Mock(),
            mock.Mock(**fields),
            mock.Mock(return_value=movable),
        )
        tracking = self.monitor.watch(attempt)
        self.addCleanup(tracking.__exit__, None, None, None)
        return tracking.__enter__()

    def pass_time(self, seconds: float) -> None:
        """Check at the usual intervals."""
        end = self.now + seconds
        while self.now < end - CHECK_INTERVAL_SECONDS / 2:
            self.now += CHECK_INTERVAL_SECONDS
            self.monitor.check(self.now)

    def test_a_request_that_may_run_elsewhere_is_moved(self) -> None:
        # Guards against a caller that waits for a suspended target although another
        # one could serve it.
        attempt = self.start(movable=True)
        self.pass_time(0.9)
        self.assertIsNone(attempt.aborted_for)
        self.pass_time(0.3)
        self.assertIs(attempt.aborted_for, Cause.MOVED)
        self.assertEqual(attempt.connection.abort.call_count, 1)  # type: ignore[attr-defined]

    def test_other_callers_get_a_response_before_they_leave(self) -> None:
        # Guards against a request that a suspended target still has when its caller
        # leaves.
        attempt = self.start(movable=False)
        self.pass_time(2.6)
        self.assertIsNone(attempt.aborted_for)
        self.pass_time(PATIENCE_SECONDS - 2.6 - 0.1)
        self.assertIs(attempt.aborted_for, Cause.UNANSWERED)

    def test_callers_of_a_target_that_is_always_slow_are_told_too(self) -> None:
        # Guards against an overloaded engine that is suspended: its silence is not
        # unusual for it until the callers have left.
        attempt = self.start(movable=True)
        self.stalled, self.silence = False, 2.0
        self.pass_time(2.6)
        self.assertIsNone(attempt.aborted_for)
        self.pass_time(PATIENCE_SECONDS - 2.6 - 0.1)
        self.assertIs(attempt.aborted_for, Cause.UNANSWERED)

    def test_a_caller_whose_request_was_moved_is_told_before_it_leaves(self) -> None:
        # Guards against a request that its first target, which is suspended, still has
        # when its caller leaves: the second one is only slow.
        attempt = self.start(movable=False, moved=True)
        self.stalled = False
        self.pass_time(2.6)
        self.assertIsNone(attempt.aborted_for)
        self.pass_time(PATIENCE_SECONDS - 2.6 - 0.1)
        self.assertIs(attempt.aborted_for, Cause.UNANSWERED)

    def test_nothing_is_ended_while_the_target_responds(self) -> None:
        # Guards against the end of a response that is only slow.
        attempt = self.start(movable=True)
        self.stalled = False
        self.pass_time(PATIENCE_SECONDS)
        self.assertIsNone(attempt.aborted_for)

    def test_bytes_that_came_during_a_suspension_are_read_first(self) -> None:
        # Guards against a gateway that is suspended, and takes its own silence for
        # that of all targets when it resumes.
        attempt = self.start(movable=True)
        self.pass_time(0.2)
        self.now += 2.5
        self.monitor.check(self.now)
        self.assertIsNone(attempt.aborted_for)
        self.stalled = False
        self.pass_time(0.5)
        self.assertIsNone(attempt.aborted_for)

    def test_a_target_that_waits_for_a_slow_caller_is_not_at_fault(self) -> None:
        # Guards against the end of a response whose caller reads slowly: meanwhile
        # nothing is read from the target.
        attempt = self.start(movable=True, is_writing=True)
        self.pass_time(PATIENCE_SECONDS)
        self.assertIsNone(attempt.aborted_for)


if __name__ == "__main__":
    unittest.main()
