"""Safeguards against crashing parts, unframed responses and callers that gather."""

from __future__ import annotations

from mutations import Mutation

_PROXY = "libraries/proxy/src/bamboopier_proxy/"
_DECISIONS = "libraries/decisions/src/bamboopier_decisions/"
_PARTS = _DECISIONS + "quarantine/crashing_parts.py"
_CRASHES = _DECISIONS + "quarantine/part_crashes.py"
_TRIALS = _DECISIONS + "quarantine/part_trials.py"
_DECISION_TESTS = "tests.test_crashing_parts"
_EVIDENCE_TESTS = "tests.test_part_evidence"

MUTATIONS = (
    Mutation(
        "an end that one part explains says nothing of others",
        _PARTS,
        "            explained |= targets\n",
        "            pass\n",
        "libraries/decisions",
        _DECISION_TESTS,
    ),
    Mutation(
        "parts that were never completed explain ends first",
        _PARTS,
        "        return self._was_completed(part), -len(suspect.ends), completed_at\n",
        "        return False, -len(suspect.ends), completed_at\n",
        "libraries/decisions",
        _DECISION_TESTS,
    ),
    Mutation(
        "one request at all ended targets says nothing of its parts",
        _CRASHES,
        "if len(requests) < MIN_REQUESTS or self._is_of_one_request(ends):",
        "if len(requests) < MIN_REQUESTS:",
        "libraries/decisions",
        _DECISION_TESTS,
    ),
    Mutation(
        "targets that end together make no part a culprit",
        _CRASHES,
        "return last_sent > first and last - first >= MIN_SPREAD_SECONDS",
        "return last_sent > first",
        "libraries/decisions",
        _DECISION_TESTS,
    ),
    Mutation(
        "a completion drops the ends before it",
        _PARTS,
        "            if self._clear(part, completed_at):\n",
        "            if False:\n",
        "libraries/decisions",
        _DECISION_TESTS,
    ),
    Mutation(
        "a request that follows a crashing part is no culprit",
        _DECISIONS + "quarantine/quarantine.py",
        "        if self._is_explained(fingerprint, suspect.crashes):\n"
        "            return False\n",
        "",
        "libraries/decisions",
        _DECISION_TESTS,
    ),
    Mutation(
        "a refusal of others is checked against completions here",
        _PARTS,
        "        if completed_at > refused.completed_at + MAX_AGE_ERROR_SECONDS:\n"
        "            return False\n",
        "",
        "libraries/decisions",
        _DECISION_TESTS,
    ),
    Mutation(
        "the intervals between trials grow",
        _TRIALS,
        "            self._count = min(self._count + 1, len(TRIAL_SECONDS) - 1)\n",
        "",
        "libraries/decisions",
        _DECISION_TESTS,
    ),
    Mutation(
        "a trial that ran nowhere is made again soon",
        _TRIALS,
        "        has_failed = self._without_result > 0 and last_ended_at"
        " > self._last_ended_at\n",
        "        has_failed = self._without_result > 0\n",
        "libraries/decisions",
        _DECISION_TESTS,
    ),
    Mutation(
        "a part at few of the ends is no culprit",
        _PARTS,
        "if len(targets) < MIN_SHARE * self._count_ended(suspect, explained):",
        "if False:",
        "libraries/decisions",
        _DECISION_TESTS,
    ),
    Mutation(
        "a response that goes on clears its parts",
        _PROXY + "crash_monitor.py",
        "        self._part_records.record_completed(survived, now)\n",
        "        survived.clear()\n",
        "libraries/proxy",
        "tests.test_crash_monitor",
    ),
    Mutation(
        "one gateway tries a refused part",
        _PROXY + "part_evidence.py",
        "call.is_trial = is_due and self._is_selected(part)",
        "call.is_trial = is_due",
        "libraries/proxy",
        _EVIDENCE_TESTS,
    ),
    Mutation(
        "ends are told again, since datagrams may be lost",
        _PROXY + "part_outbox.py",
        "            if outgoing.sent_count < MAX_SENDS\n",
        "            if outgoing.sent_count < 1\n",
        "libraries/proxy",
        _EVIDENCE_TESTS,
    ),
    Mutation(
        "completions of suspected parts are told",
        _PROXY + "part_outbox.py",
        "                self._completed.add(part)\n",
        "                pass\n",
        "libraries/proxy",
        _EVIDENCE_TESTS,
    ),
    Mutation(
        "refused parts are told to gateways that saw none of the ends",
        _PROXY + "part_evidence.py",
        "        if not refused:\n            return\n        if len(refused) > MAX",
        "        if True:\n            return\n        if len(refused) > MAX",
        "libraries/proxy",
        _EVIDENCE_TESTS,
    ),
    Mutation(
        "a response without framing is complete only at a live target",
        _PROXY + "exchange.py",
        "            await self._pool.check(in_flight.state.entry)\n",
        "            pass\n",
        "libraries/proxy",
        "tests.test_attempts",
    ),
    Mutation(
        "a response without framing that ends in a pause is not complete",
        _PROXY + "exchange.py",
        "if self._pauses.find_earliest_arrival(now) < now:",
        "if False:",
        "libraries/proxy",
        "tests.test_attempts",
    ),
    Mutation(
        "a target whose caller left is checked again",
        _PROXY + "crash_monitor.py",
        "for seconds in LATE_CHECK_SECONDS:",
        "for seconds in LATE_CHECK_SECONDS[:1]:",
        "libraries/proxy",
        "tests.test_crash_monitor",
    ),
    Mutation(
        "a gateway's share of a limit follows its requests",
        _DECISIONS + "forwarding/demand_share.py",
        "return EQUAL_PART * equal + (1.0 - EQUAL_PART) * own / total",
        "return equal",
        "libraries/decisions",
        "tests.forwarding.test_demand_share",
    ),
    Mutation(
        "the load of other gateways counts when their hints arrive",
        _PROXY + "load_hints.py",
        "        self._add(hint, 1)\n        return True\n",
        "        return True\n",
        "libraries/proxy",
        "tests.test_load_hints",
    ),
    Mutation(
        "a request tries once more when its wait ends",
        _PROXY + "request_queues.py",
        "found = _get_acquired(acquired) or try_acquire()",
        "found = _get_acquired(acquired)",
        "libraries/proxy",
        "tests.test_request_queues",
    ),
    Mutation(
        "a version counts as long as the longest stream",
        _DECISIONS + "forwarding/version_history.py",
        "        self._retention = max(STREAM_SECONDS, seconds)\n",
        "        pass\n",
        "libraries/decisions",
        "tests.forwarding.test_software_versions",
    ),
)
