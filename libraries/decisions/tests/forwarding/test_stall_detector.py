"""Tests of the detection of targets that have stopped responding."""

from __future__ import annotations

import unittest

from bamboopier_decisions.forwarding.stall_detector import StallDetector


class SilenceTests(unittest.TestCase):
    def test_an_idle_target_is_not_silent(self) -> None:
        # Guards against time without requests that counts as silence.
        detector = StallDetector()
        detector.record_sent(1.0)
        detector.record_byte(1.2)
        detector.record_end(1.2, running=False)
        self.assertEqual(detector.find_silence(60.0), 0.0)
        detector.record_sent(60.0)
        self.assertAlmostEqual(detector.find_silence(60.5), 0.5)

    def test_one_response_proves_that_the_target_responds(self) -> None:
        # Guards against the silence of one request that waits for its turn while the
        # target responds to others.
        detector = StallDetector()
        detector.record_sent(1.0)
        detector.record_sent(1.1)
        detector.record_byte(3.0)
        self.assertAlmostEqual(detector.find_silence(3.2), 0.2)

    def test_the_silence_of_callers_who_leave_adds_up(self) -> None:
        # Guards against a suspended target that looks new to each request, because
        # every caller before it left sooner than the silence was conspicuous.
        detector = StallDetector()
        for start in (1.0, 2.0, 3.0):
            detector.record_sent(start)
            detector.record_end(start + 0.3, running=False)
        self.assertAlmostEqual(detector.find_silence(4.0), 0.9)


class StallTests(unittest.TestCase):
    def setUp(self) -> None:
        self.detector = StallDetector()

    def respond(self, start: float, first_byte: float, gaps: list[float]) -> float:
        """Record a response in parts; return when its last part was received."""
        self.detector.record_sent(start)
        now = start + first_byte
        self.detector.record_first_byte(now, first_byte)
        for gap in gaps:
            now += gap
            self.detector.record_byte(now)
        self.detector.record_end(now, running=True)
        return now

    def test_a_target_that_stops_within_its_streams_gets_no_more_requests(self) -> None:
        # Guards against requests that a suspended engine reads when it resumes, after
        # their callers have disconnected.
        self.detector.record_sent(1.0)
        self.detector.record_first_byte(1.1, 0.1)
        for step in range(1, 10):
            self.detector.record_byte(1.1 + step * 0.02)
        self.assertTrue(self.detector.allows_request(1.3))
        self.assertFalse(self.detector.allows_request(1.6))
        self.assertFalse(self.detector.allows_request(30.0))
        self.detector.record_byte(31.0)
        self.assertTrue(self.detector.allows_request(31.0))

    def test_one_request_at_a_time_probes_a_stalled_target(self) -> None:
        # Guards against a target that is never used again, because all requests that
        # waited for it have ended, and against a burst of requests that probe it.
        self.detector.record_sent(1.0)
        self.detector.record_end(2.0, running=False)
        self.assertFalse(self.detector.allows_request(2.9))
        self.assertTrue(self.detector.allows_request(3.0))
        self.detector.record_sent(3.0)
        self.assertFalse(self.detector.allows_request(6.0))
        self.detector.record_end(6.1, running=False)
        self.assertTrue(self.detector.allows_request(6.1))

    def test_a_target_that_always_responds_slowly_is_not_stalled(self) -> None:
        # Guards against a slow service that gets one request at a time.
        now = 0.0
        for _ in range(30):
            now = self.respond(now, 0.9, []) + 0.1
        self.detector.record_sent(now)
        self.assertTrue(self.detector.allows_request(now + 0.9))
        self.assertFalse(self.detector.allows_request(now + 3.1))

    def test_slow_streams_are_not_stalls(self) -> None:
        # Guards against an engine whose streams pause regularly and which gets no
        # requests in the pauses.
        now = 0.0
        for _ in range(5):
            now = self.respond(now, 0.1, [0.2] * 20)
        self.detector.record_sent(now)
        self.detector.record_first_byte(now + 0.1, 0.1)
        self.assertTrue(self.detector.allows_request(now + 0.6))

    def test_a_stall_does_not_raise_the_limit_for_the_next_one(self) -> None:
        # Guards against one long suspension after which the next is not detected.
        self.respond(0.0, 0.1, [0.02] * 20)
        self.respond(1.0, 0.1, [10.0] + [0.02] * 20)
        self.detector.record_sent(20.0)
        self.detector.record_first_byte(20.1, 0.1)
        self.assertFalse(self.detector.allows_request(20.5))


if __name__ == "__main__":
    unittest.main()
