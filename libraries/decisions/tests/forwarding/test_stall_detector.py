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
        detector.record_end(1.2)
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
            detector.record_end(start + 0.3)
        self.assertAlmostEqual(detector.find_silence(4.0), 0.9)


if __name__ == "__main__":
    unittest.main()
