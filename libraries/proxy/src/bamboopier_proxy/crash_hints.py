"""Exchanges between gateways which requests crash targets.

Load pattern: a target ends with up to a hundred requests, one of which crashes each
target that runs it, and further targets end within the next second. Only a part of the
records fits a datagram, so those of requests that crashed most targets go first, and of
the others those that were sent least often.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from bamboopier_decisions.quarantine.quarantine import Crash, QuarantineEntry

from .hints import CrashHint, QuarantineHint

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from bamboopier_decisions.quarantine.quarantine import Quarantine

# Time for which a crash is repeated: datagrams may be lost, and each reaches only some
# of the gateways.
REPEAT_SECONDS = 10.0
# Maximum number of each in one hint.
MAX_CRASHES = 8
MAX_REFUSED = 8
# Crashed targets from which a request is logged: its target may have had a hundred
# harmless ones beside it.
MIN_LOGGED_TARGETS = 2

log = structlog.get_logger()


class _SentCrash:
    """A crash that this gateway saw, and how often it was told to others."""

    __slots__ = ("crash", "sent_count")

    def __init__(self, crash: Crash) -> None:
        self.crash = crash
        self.sent_count = 0


class CrashHints:
    """Creates and applies the crashes and the refused requests in hints."""

    def __init__(self, quarantine: Quarantine, random: random.Random) -> None:
        self._quarantine = quarantine
        self._random = random
        self._own: list[_SentCrash] = []

    def record(self, now: float, crashes: Iterable[Crash], seen_by: str) -> None:
        """Record crashes that this gateway saw."""
        for crash in crashes:
            if self._apply_crash(now, crash, seen_by):
                self._own.append(_SentCrash(crash))

    def find_wait(self, now: float, fingerprint: bytes) -> float:
        """Return the seconds for which a request is refused; 0 if it is not."""
        return self._quarantine.find_wait(now, fingerprint)

    def record_completed(self, now: float, fingerprint: bytes) -> None:
        """Record that a target completed a request."""
        if not self._quarantine.record_completed(now, fingerprint):
            return
        self._own = [s for s in self._own if s.crash.fingerprint != fingerprint]
        log.info("request completed by a target", fingerprint=fingerprint.hex())

    def list_crashes(self, now: float) -> list[CrashHint]:
        """Return the crashes to tell the other gateways."""
        self._own = [s for s in self._own if now - s.crash.ended_at < REPEAT_SECONDS]
        count_targets = self._quarantine.count_targets
        self._own.sort(
            key=lambda s: (-count_targets(s.crash.fingerprint), s.sent_count)
        )
        selected = self._own[:MAX_CRASHES]
        for sent in selected:
            sent.sent_count += 1
        return [_make_hint(now, sent.crash) for sent in selected]

    def list_refused(self, now: float) -> list[QuarantineHint]:
        """Return refused requests; a random sample each time if there are many."""
        entries = self._quarantine.list_refused(now)
        if len(entries) > MAX_REFUSED:
            entries = self._random.sample(entries, MAX_REFUSED)
        return [
            QuarantineHint(entry.fingerprint, int((entry.until - now) * 1000))
            for entry in entries
        ]

    def apply(
        self,
        now: float,
        sender: str,
        crashes: Iterable[CrashHint],
        refused: Iterable[QuarantineHint],
    ) -> None:
        """Apply what another gateway sent."""
        for hint in crashes:
            self._apply_crash(now, _make_crash(now, hint), sender)
        for entry in refused:
            until = now + entry.remaining / 1000
            shared = QuarantineEntry(entry.fingerprint, until)
            if self._quarantine.add_shared_entry(shared):
                log.warning(
                    "request quarantined by another gateway",
                    fingerprint=entry.fingerprint.hex(),
                    gateway=sender,
                    seconds=round(entry.remaining / 1000, 1),
                )

    def _apply_crash(self, now: float, crash: Crash, seen_by: str) -> bool:
        """Record a crash; return whether it is news."""
        crashed_targets = self._quarantine.record_crash(now, crash)
        if crashed_targets < MIN_LOGGED_TARGETS:
            return crashed_targets > 0
        log.info(
            "crash recorded",
            fingerprint=crash.fingerprint.hex(),
            target=crash.target,
            seen_by=seen_by,
            ended_seconds_ago=round(now - crash.ended_at, 3),
            crashed_targets=crashed_targets,
            refused_seconds=round(self.find_wait(now, crash.fingerprint), 1),
        )
        return True


def _make_hint(now: float, crash: Crash) -> CrashHint:
    return CrashHint(
        crash.fingerprint,
        crash.target,
        int((now - crash.sent_at) * 1000),
        int((now - crash.ended_at) * 1000),
    )


def _make_crash(now: float, hint: CrashHint) -> Crash:
    return Crash(
        hint.fingerprint,
        hint.target,
        now - hint.sent_age / 1000,
        now - hint.ended_age / 1000,
    )
