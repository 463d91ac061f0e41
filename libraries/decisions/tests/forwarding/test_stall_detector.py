"""Tests of the detection of targets that have stopped responding."""

from __future__ import annotations

import unittest

from bamboopier_decisions.forwarding.stall_detector import (
    PROBE_INTERVAL_SECONDS,
    StallDetector,
)


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

    def test_a_long_prompt_does_not_look_like_a_stall(self) -> None:
        # Guards against an engine that all of 68 gateways avoid since one of them has
        # only a long prompt there, which takes 0.3 s to prefill.
        self.detector.record_sent(10.0, 0.3)
        self.assertFalse(self.detector.has_detected_stall(10.55))
        self.assertTrue(self.detector.has_detected_stall(10.65))

    def test_requests_sent_during_a_stall_do_not_delay_its_detection(self) -> None:
        # Guards against a suspended engine that looks busy for longer with each prompt.
        for number in range(5):
            self.detector.record_sent(10.0 + number * 0.1, 0.1 + number * 0.3)
        self.assertTrue(self.detector.has_detected_stall(10.45))

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
        self.assertFalse(self.detector.allows_request(4.9))
        self.assertTrue(self.detector.allows_request(5.0))
        self.detector.record_sent(5.0)
        self.assertFalse(self.detector.allows_request(10.0))
        self.detector.record_end(10.1, running=False)
        self.assertTrue(self.detector.allows_request(10.1))

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

    def stall_within_a_stream(self) -> float:
        """Let the only response stop at 1.28 s; its caller leaves 0.31 s later."""
        self.detector.record_sent(1.0)
        self.detector.record_first_byte(1.1, 0.1)
        for step in range(1, 10):
            self.detector.record_byte(1.1 + step * 0.02)
        self.detector.record_end(1.59, running=True)
        return 1.59

    def test_a_stall_is_not_forgotten_when_its_last_response_ends(self) -> None:
        # Guards against a suspended engine that gets one more request, since a silence
        # that is long within a stream is short before a first byte.
        ended_at = self.stall_within_a_stream()
        self.assertFalse(self.detector.allows_request(ended_at + 0.1))
        self.detector.record_remote_byte(ended_at + 0.2)
        self.assertTrue(self.detector.allows_request(ended_at + 0.2))

    def test_a_stall_is_reported_until_the_next_probe(self) -> None:
        # Guards against other gateways that send to a suspended engine once the last
        # request there of the gateway that saw it has ended.
        ended_at = self.stall_within_a_stream()
        report = self.detector.find_reported_silence
        self.assertAlmostEqual(report(ended_at + 2.0), 2.31)
        self.assertEqual(report(ended_at + PROBE_INTERVAL_SECONDS), 0.0)

    def test_a_target_that_responds_is_not_reported(self) -> None:
        now = self.respond(1.0, 0.1, [0.02] * 9)
        self.assertEqual(self.detector.find_reported_silence(now + 0.1), 0.0)


class ReportTests(unittest.TestCase):
    def setUp(self) -> None:
        self.detector = StallDetector()

    def test_a_target_that_another_gateway_reports_gets_no_requests(self) -> None:
        # Guards against a suspended engine that gets the first requests of every
        # gateway, because each has to detect the stall by itself.
        self.detector.record_report(5.0, 4.5)
        self.assertFalse(self.detector.allows_request(5.1))
        self.assertTrue(self.detector.allows_request(6.0))

    def test_a_byte_refutes_the_report_of_a_gateway_that_is_cut_off(self) -> None:
        # Guards against a gateway that is cut off from all targets and takes them away
        # from the others.
        for name in ("record_byte", "record_remote_byte"):
            with self.subTest(name):
                detector = StallDetector()
                detector.record_report(5.0, 4.5)
                getattr(detector, name)(4.8)
                self.assertTrue(detector.allows_request(5.1))

    def test_bytes_of_the_last_moment_do_not_refute_a_report(self) -> None:
        # Guards against the last bytes before a stall, which reach gateways at
        # different moments.
        self.detector.record_sent(4.0)
        self.detector.record_byte(4.55)
        self.detector.record_report(5.0, 4.5)
        self.assertFalse(self.detector.allows_request(5.0))

    def test_a_target_that_responds_to_others_is_not_stalled(self) -> None:
        # Guards against a request that waits long for its turn at a busy engine and
        # makes its gateway exclude that engine.
        self.detector.record_sent(1.0)
        self.detector.record_remote_byte(2.9)
        self.assertTrue(self.detector.allows_request(3.0))

    def test_a_target_that_responds_to_others_again_gets_requests(self) -> None:
        # Guards against a gateway that avoids a target for seconds after it resumed,
        # because none of its own requests is waiting there.
        self.detector.record_sent(1.0)
        self.detector.record_end(3.0, running=False)
        self.detector.record_remote_byte(2.9)
        self.assertFalse(self.detector.allows_request(3.2))
        self.detector.record_remote_byte(3.1)
        self.assertTrue(self.detector.allows_request(3.2))

    def test_a_report_excludes_no_target_that_none_can_replace(self) -> None:
        # Guards against requests refused because of a report alone.
        self.detector.record_report(5.0, 4.5)
        self.assertTrue(self.detector.allows_probe)


if __name__ == "__main__":
    unittest.main()
