"""Selects what a gateway tells others of parts that crash targets, and how often.

Load pattern: a target ends with up to a hundred requests of this gateway, each with
some parts, and a datagram has room for a few of their records. The strongest evidence
goes first, and each record several times, since datagrams may be lost.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from bamboopier_decisions.quarantine.crashing_parts import RefusedPart
from bamboopier_decisions.quarantine.part_crashes import NEVER, PartCrash

from .hints import CompletedPartHint, PartCrashHint, RefusedPartHint

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bamboopier_decisions.quarantine.crashing_parts import CrashingParts

# How often each record is sent, and its age from which it is not sent any more.
MAX_SENDS = 4
MAX_AGE_SECONDS = 3.0
# Maximum number of each kind of record in one message, so that it fits a datagram.
MAX_CRASHES = 16
MAX_COMPLETED = 16
# Interval after which the completion of a suspected part is told again.
COMPLETED_INTERVAL_SECONDS = 0.5


class _Outgoing:
    """A crash that was seen here, and how often it was told."""

    __slots__ = ("crash", "sent_count")

    def __init__(self, crash: PartCrash) -> None:
        self.crash = crash
        self.sent_count = 0


class PartOutbox:
    """Crashes and completions of parts that other gateways should know."""

    def __init__(self, parts: CrashingParts) -> None:
        self._parts = parts
        self._outgoing: list[_Outgoing] = []
        # Completed parts to tell, and when each was last told.
        self._completed: set[bytes] = set()
        self._completed_told_at: dict[bytes, float] = {}

    @property
    def has_completed(self) -> bool:
        """Return whether there are completions to tell."""
        return bool(self._completed)

    def add_crashes(self, crashes: Iterable[PartCrash]) -> None:
        """Add crashes that were seen here."""
        self._outgoing += [_Outgoing(crash) for crash in crashes]

    def add_completed(self, now: float, parts: Iterable[bytes]) -> None:
        """Add the completions of these parts, if any are known, but not too often."""
        for part in parts:
            if self._parts.find_completed(part) == NEVER:
                continue
            last_told = self._completed_told_at.get(part, NEVER)
            if now - last_told >= COMPLETED_INTERVAL_SECONDS:
                self._completed.add(part)
                self._completed_told_at[part] = now

    def take_crashes(self, now: float) -> list[PartCrashHint]:
        """Return the crashes to tell, the strongest evidence first."""
        self._outgoing = [
            outgoing
            for outgoing in self._outgoing
            if outgoing.sent_count < MAX_SENDS
            and now - outgoing.crash.ended_at < MAX_AGE_SECONDS
        ]
        self._outgoing.sort(key=self._rank)
        taken = self._outgoing[:MAX_CRASHES]
        for outgoing in taken:
            outgoing.sent_count += 1
        return [_make_crash_hint(now, outgoing.crash) for outgoing in taken]

    def _rank(self, outgoing: _Outgoing) -> tuple[bool, int, int]:
        part = outgoing.crash.part
        was_completed = self._parts.find_completed(part) > NEVER
        return was_completed, -self._parts.count_targets(part), outgoing.sent_count

    def take_completed(self, now: float) -> list[CompletedPartHint]:
        """Return the completions to tell."""
        taken = [self._completed.pop() for _ in range(len(self._completed))]
        self._completed.update(taken[MAX_COMPLETED:])
        self._completed_told_at = {
            part: told_at
            for part, told_at in self._completed_told_at.items()
            if now - told_at < COMPLETED_INTERVAL_SECONDS
        }
        return [
            CompletedPartHint(part, _to_age(now, self._parts.find_completed(part)))
            for part in taken[:MAX_COMPLETED]
        ]


def _to_age(now: float, at: float) -> int:
    """Return milliseconds, rounded up: nothing may look later than it was."""
    return math.ceil((now - at) * 1000)


def _make_crash_hint(now: float, crash: PartCrash) -> PartCrashHint:
    return PartCrashHint(
        crash.part,
        crash.request,
        crash.target,
        _to_age(now, crash.sent_at),
        _to_age(now, crash.ended_at),
    )


def make_crash(now: float, hint: PartCrashHint) -> PartCrash:
    """Return the crash that another gateway told."""
    return PartCrash(
        hint.part,
        hint.request,
        hint.target,
        now - hint.sent_age / 1000,
        now - hint.ended_age / 1000,
    )


def make_refused(now: float, hint: RefusedPartHint) -> RefusedPart:
    """Return what another gateway refuses."""
    age = hint.completed_age
    return RefusedPart(
        hint.part,
        now - hint.first_ended_age / 1000,
        now + hint.remaining / 1000,
        NEVER if age is None else now - age / 1000,
    )


def make_refused_hint(now: float, refused: RefusedPart) -> RefusedPartHint:
    """Return what other gateways are told of a refused part."""
    completed_at = refused.completed_at
    return RefusedPartHint(
        refused.part,
        _to_age(now, refused.first_ended_at),
        int((refused.until - now) * 1000),
        _to_age(now, completed_at) if completed_at > NEVER else None,
    )
