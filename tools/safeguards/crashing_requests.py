"""Safeguards against requests that crash the targets that run them."""

from __future__ import annotations

from mutations import Mutation

_PROXY = "libraries/proxy/src/bamboopier_proxy/"
_QUARANTINE = "libraries/decisions/src/bamboopier_decisions/quarantine/quarantine.py"

MUTATIONS = (
    Mutation(
        "a retry onto a target that has just ended is no repeat",
        _QUARANTINE,
        "last_sent > first and self.last - first >= min_spread_seconds",
        "last_sent > first",
        "libraries/decisions",
        "tests.test_quarantine",
    ),
    Mutation(
        "a crash that is told again is as old as before",
        _QUARANTINE,
        "        if crash.target in suspect.crashes:\n            return 0\n",
        "",
        "libraries/decisions",
        "tests.test_quarantine",
    ),
    Mutation(
        "requests that always crash together are refused after one more crash",
        _QUARANTINE,
        "return count > self._min_targets and most_beside <= count",
        "return False",
        "libraries/decisions",
        "tests.test_quarantine",
    ),
    Mutation(
        "an entry that gateways tell each other still ends",
        _QUARANTINE,
        "if entry.until <= known_until + MIN_EXTENSION_SECONDS:",
        "if entry.until <= known_until:",
        "libraries/decisions",
        "tests.test_quarantine",
    ),
    Mutation(
        "a crash after the response's head counts",
        _PROXY + "target_outcomes.py",
        "broken = result.cause is Cause.BROKEN\n",
        "broken = result.cause is Cause.BROKEN and not result.status\n",
        "platform",
        "tests.test_crash_matrix",
    ),
    Mutation(
        "only a target that refuses connections has ended",
        _PROXY + "crash_monitor.py",
        "        if not await self._has_ended(entry):\n            return False\n",
        "",
        "libraries/proxy",
        "tests.test_crash_monitor",
    ),
    Mutation(
        "a target is checked also where its caller left first",
        _PROXY + "crash_monitor.py",
        "        self._schedule_check(in_flight.state, is_late=not broken)\n",
        "        if broken:\n"
        "            self._schedule_check(in_flight.state, is_late=False)\n",
        "libraries/proxy",
        "tests.test_crash_monitor",
    ),
    Mutation(
        "the request that crashed most targets is told first",
        _PROXY + "crash_hints.py",
        "-count_targets(s.crash.fingerprint), s.sent_count",
        "s.sent_count",
        "libraries/proxy",
        "tests.test_crash_hints",
    ),
    Mutation(
        "crashes are told in turn",
        _PROXY + "crash_hints.py",
        "            sent.sent_count += 1\n",
        "            pass\n",
        "libraries/proxy",
        "tests.test_crash_hints",
    ),
    Mutation(
        "what is refused is told to gateways that start later",
        _PROXY + "crash_hints.py",
        "        entries = self._quarantine.list_refused(now)\n",
        "        entries: list[QuarantineEntry] = []\n",
        "libraries/proxy",
        "tests.test_crash_hints",
    ),
    Mutation(
        "the quarantine is checked right before each send",
        _PROXY + "forwarder.py",
        "        self._check_quarantine(call)\n"
        "        self._check_freshness(call, now)\n",
        "        self._check_freshness(call, now)\n",
        "libraries/proxy",
        "tests.test_attempts",
    ),
    Mutation(
        "refused requests are stored for gateways that all restart",
        _PROXY + "quarantine_records.py",
        "            await self._records.write(name, QuarantineRecord(until))\n",
        "            pass\n",
        "libraries/proxy",
        "tests.test_stored_records",
    ),
    Mutation(
        "an agent tells a target that ended from one that lives on",
        "libraries/agent/src/bamboopier_agent/attempt_runner.py",
        "cause = pb.TARGET_CRASHED if has_ended else pb.RESPONSE_BROKEN",
        "cause = pb.TARGET_CRASHED",
        "libraries/agent",
        "tests.test_target_monitor",
    ),
)
