"""Safeguards of targets that stop responding while requests wait for them."""

from __future__ import annotations

from mutations import Mutation

FORWARDING = "libraries/decisions/src/bamboopier_decisions/forwarding"
STALL_DETECTOR = f"{FORWARDING}/stall_detector.py"
PROXY = "libraries/proxy/src/bamboopier_proxy"
TESTS = "tests.forwarding.test_stall_detector"
PLACEMENT_TESTS = "tests.forwarding.test_placement.PlacementTests"
REPORT_TESTS = "tests.test_stall_reports.StallReportTests"

STALLED_ATTEMPT = f"{FORWARDING}/stalled_attempt.py"
STALL_MONITOR = f"{PROXY}/stall_monitor.py"
ATTEMPT_TESTS = "tests.forwarding.test_stalled_attempt.StalledAttemptTests"
MONITOR_TESTS = "tests.test_stall_monitor.StallMonitorTests"
MOVE_TESTS = "tests.test_stalled_engines.StalledEngineTests"

MUTATIONS = (
    Mutation(
        "callers at a silent target are told before they leave",
        STALLED_ATTEMPT,
        "    if now >= leaves_at - RESPONSE_MARGIN_SECONDS:\n",
        "    if now >= leaves_at:\n",
        "libraries/decisions",
        f"{ATTEMPT_TESTS}.test_an_attempt_is_moved_and_its_caller_answered_before_it_leaves",
    ),
    Mutation(
        "an attempt is moved while its caller has time left",
        STALLED_ATTEMPT,
        "min(MOVE_AFTER_SECONDS, patience * MOVE_SHARE)",
        "MOVE_AFTER_SECONDS",
        "libraries/decisions",
        f"{ATTEMPT_TESTS}.test_an_impatient_caller_leaves_the_other_target_half_of_the_time",
    ),
    Mutation(
        "a gateway that was suspended reads before it ends attempts",
        STALL_MONITOR,
        "        if paused:\n            return\n",
        "",
        "libraries/proxy",
        f"{MONITOR_TESTS}.test_bytes_that_came_during_a_suspension_are_read_first",
    ),
    Mutation(
        "callers whose requests were moved are told before they leave",
        STALL_MONITOR,
        "set(self._moved)",
        "set()",
        "libraries/proxy",
        f"{MONITOR_TESTS}.test_a_caller_whose_request_was_moved_is_told_before_it_leaves",
    ),
    Mutation(
        "the patience of callers counts from before a suspension",
        f"{PROXY}/messages.py",
        "self.arrived - self.unread_seconds",
        "self.arrived",
        "platform",
        "tests.test_stalled_engines.StalledEngineTests"
        ".test_requests_that_waited_for_a_suspended_gateway_are_answered_in_time",
    ),
    Mutation(
        "a target that waits for a slow caller is not ended",
        STALL_MONITOR,
        " or attempt.delivery.is_writing:",
        ":",
        "libraries/proxy",
        f"{MONITOR_TESTS}.test_a_target_that_waits_for_a_slow_caller_is_not_at_fault",
    ),
    Mutation(
        "a stalled target gets no requests while others respond",
        f"{FORWARDING}/placement.py",
        "    usable = _exclude_stalled(now, usable)\n",
        "",
        "libraries/decisions",
        f"{PLACEMENT_TESTS}.test_a_stalled_target_is_not_used_while_others_respond",
    ),
    Mutation(
        "a stalled target without others is probed by one request at a time",
        f"{FORWARDING}/placement.py",
        " or [s for s in states if s.stall_detector.allows_probe]",
        "",
        "libraries/decisions",
        f"{PLACEMENT_TESTS}.test_one_request_at_a_time_probes_a_stalled_target_without_others",
    ),
    Mutation(
        "the silence of callers who leave adds up",
        STALL_DETECTOR,
        "            self._owed_since = now - self._silence\n",
        "            self._owed_since = now\n",
        "libraries/decisions",
        f"{TESTS}.SilenceTests.test_the_silence_of_callers_who_leave_adds_up",
    ),
    Mutation(
        "the limit follows what is usual for the target",
        STALL_DETECTOR,
        "        return min(longest, max(shortest, self._average * self._factor))\n",
        "        return shortest\n",
        "libraries/decisions",
        f"{TESTS}.StallTests.test_a_target_that_always_responds_slowly_is_not_stalled",
    ),
    Mutation(
        "a stall counts only up to the limit in the average",
        STALL_DETECTOR,
        "(min(seconds, self.limit) - self._average)",
        "(seconds - self._average)",
        "libraries/decisions",
        f"{TESTS}.StallTests.test_a_stall_does_not_raise_the_limit_for_the_next_one",
    ),
    Mutation(
        "a byte to any gateway refutes a report",
        STALL_DETECTOR,
        "        last_byte_at = max(self.last_byte_at, self._remote_byte_at)\n",
        "        last_byte_at = NEVER\n",
        "libraries/decisions",
        f"{TESTS}.ReportTests.test_a_byte_refutes_the_report_of_a_gateway_that_is_cut_off",
    ),
    Mutation(
        "reports of other gateways are applied",
        f"{PROXY}/stall_reports.py",
        "                detector.record_report(now, now - hint.stalled_ms / 1000)\n",
        "                pass\n",
        "libraries/proxy",
        f"{REPORT_TESTS}.test_a_stall_reaches_other_gateways_and_is_logged_once",
    ),
    Mutation(
        "a response to one gateway ends the silence at another",
        f"{PROXY}/load_hints.py",
        "    is_known = byte_age < RECENT_BYTE_SECONDS or _is_stalled(now, state)\n",
        "    is_known = _is_stalled(now, state)\n",
        "libraries/proxy",
        f"{REPORT_TESTS}.test_a_response_to_one_gateway_ends_the_silence_at_another",
    ),
    Mutation(
        "a stall is remembered when its last request ends",
        STALL_DETECTOR,
        "        self._was_stalled = self.has_detected_stall(now)\n",
        "",
        "libraries/decisions",
        f"{TESTS}.StallTests.test_a_stall_is_not_forgotten_when_its_last_response_ends",
    ),
    Mutation(
        "a request that was moved may have run",
        f"{PROXY}/exchange.py",
        "AttemptResult(ExecutionStatus.UNKNOWN, aborted_for)",
        "AttemptResult(ExecutionStatus.NOT_EXECUTED, aborted_for)",
        "platform",
        f"{MOVE_TESTS}.test_a_moved_request_that_is_refused_elsewhere_may_have_run",
    ),
    Mutation(
        "a request that may run once is not sent again",
        f"{PROXY}/forwarder.py",
        "            case RetrySafety.ONCE:\n                return False\n",
        "            case RetrySafety.ONCE:\n                return True\n",
        "platform",
        f"{MOVE_TESTS}.test_a_request_that_may_run_once_is_never_moved",
    ),
)
