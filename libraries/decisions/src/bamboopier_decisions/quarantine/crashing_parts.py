"""Decides which parts of prompts are refused because they crash targets.

Load pattern: one part of a prompt ends each target that begins a response on it.
Requests with it are all different and come through any gateway, among sound ones that
share their other parts. Without this, each of them ends one more target, as no request
comes a second time.

A target ends with up to a hundred requests, each with some parts. Its end speaks
against all of these parts, and a response that is complete, or has gone on for a while,
clears those of its prompt. Of what remains, each end is explained once: first by parts
that were never seen to complete, and by those with most ends. So neither the first part
that all prompts share is refused, nor a session whose requests are retried from one
ending target to the next. Where targets end for another reason, no part is at most of
the ends for long.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from .part_crashes import MIN_TARGETS, NEVER, SuspectedPart
from .part_trials import PartTrials
from .quarantine import (
    CRASH_RETENTION_SECONDS,
    MIN_EXTENSION_SECONDS,
    QUARANTINE_SECONDS,
    QuarantineEntry,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .part_crashes import PartCrash

# Different targets that must have ended with parts which have the same ends, and with
# one that was completed before.
MIN_TARGETS_TIED = 5
MIN_TARGETS_COMPLETED = 5
# Share of all targets that ended meanwhile. Where targets end for another reason, some
# session was at several of them by chance.
MIN_SHARE = 0.25
# Time from the first event of a response from which its target counts as having
# completed it: a bad part ends its target when the response begins.
SURVIVAL_SECONDS = 1.0
# Time from a trial to the next request of a caller, which it may have let through.
TRIAL_RESULT_SECONDS = 0.5
# Suspected parts: several times what 400 parts per end and 100 ends a day need.
MAX_SUSPECTS = 10_000
# Parts whose last completion is remembered: those of a quarantine, at some dozen
# requests a second.
MAX_COMPLETED = 20_000
# Gateways tell each other ages, which are older by the time on the way.
MAX_AGE_ERROR_SECONDS = 0.05


class RefusedPart(msgspec.Struct, frozen=True):
    """A part whose requests are refused until ``until``."""

    part: bytes
    # When the first of its targets ended.
    first_ended_at: float
    until: float
    # Its last completion that is known to whoever refuses it.
    completed_at: float = NEVER


class CrashingParts:
    """One gateway's evidence against parts, its own and that of other gateways."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[bytes, SuspectedPart] = OrderedDict()
        # Those with ends of enough targets.
        self._candidates: set[bytes] = set()
        # When each target ended, by the order in which that became known.
        self._ended: OrderedDict[str, float] = OrderedDict()
        # When each part was last completed, the oldest first.
        self._completed: OrderedDict[bytes, float] = OrderedDict()
        # What is refused by the evidence here, and by that of other gateways.
        self._own: dict[bytes, RefusedPart] = {}
        self._shared: dict[bytes, RefusedPart] = {}
        self._trials: dict[bytes, PartTrials] = {}

    def record_crashes(
        self, now: float, crashes: Iterable[PartCrash]
    ) -> list[PartCrash]:
        """Record crashes, seen here or by another gateway; return those that are news.

        A crash before the last known completion of its part is none.
        """
        self._remove_expired(now)
        news = [crash for crash in crashes if self._add(crash)]
        if news:
            self._update_refused(now)
        return news

    def _add(self, crash: PartCrash) -> bool:
        self._ended.setdefault(crash.target, crash.ended_at)
        if crash.ended_at <= self.find_completed(crash.part):
            return False
        suspect = self._suspects.setdefault(crash.part, SuspectedPart())
        if not suspect.add(crash):
            return False
        self._suspects.move_to_end(crash.part)
        if len(suspect.ends) >= MIN_TARGETS:
            self._candidates.add(crash.part)
        if len(self._suspects) > MAX_SUSPECTS:
            self._remove(next(iter(self._suspects)))
        return True

    def record_completed(
        self, now: float, parts: Iterable[bytes], completed_at: float
    ) -> list[bytes]:
        """Record that a target completed a request with ``parts`` at that time.

        Return those against which there had been evidence.
        """
        cleared = []
        for part in parts:
            if completed_at <= self.find_completed(part):
                continue
            self._completed[part] = completed_at
            self._completed.move_to_end(part)
            if self._clear(part, completed_at):
                cleared.append(part)
        while len(self._completed) > MAX_COMPLETED:
            self._completed.popitem(last=False)
        if cleared:
            self._update_refused(now)
        return cleared

    def add_shared(self, refused: RefusedPart) -> bool:
        """Add what another gateway refuses; return whether it is news here.

        It is not added if a completion is known here that the other one lacks.
        """
        completed_at = self.find_completed(refused.part)
        if completed_at > refused.completed_at + MAX_AGE_ERROR_SECONDS:
            return False
        known = self._shared.get(refused.part)
        if known is not None and refused.until <= known.until + MIN_EXTENSION_SECONDS:
            return False
        self._shared[refused.part] = refused
        return True

    def add_shared_entry(self, entry: QuarantineEntry) -> bool:
        """Add a stored entry; return whether it is news here."""
        first_ended_at = entry.until - QUARANTINE_SECONDS
        return self.add_shared(
            RefusedPart(entry.fingerprint, first_ended_at, entry.until)
        )

    def find_completed(self, part: bytes) -> float:
        """Return when a part was last completed; minus infinity if unknown."""
        return self._completed.get(part, NEVER)

    def find_refused(self, now: float, parts: Iterable[bytes]) -> list[RefusedPart]:
        """Return those of ``parts`` that are refused."""
        found = (self._find(now, part) for part in parts)
        return [refused for refused in found if refused is not None]

    def start_trial(self, now: float, part: bytes) -> bool:
        """Return whether one request may try a refused part now.

        What only others refuse was refused before, and is not tried early.
        """
        trials = self._trials.get(part)
        if trials is None:
            self._trials[part] = PartTrials(now, is_new=part in self._own)
            return False
        suspect = self._suspects.get(part)
        last_ended_at = suspect.last_ended_at if suspect is not None else NEVER
        return trials.start(now, last_ended_at)

    def find_wait(self, now: float, refused: RefusedPart) -> float:
        """Return the seconds until a refusal ends, or a trial may have lifted it."""
        seconds = refused.until - now
        trials = self._trials.get(refused.part)
        if trials is None:
            return seconds
        return min(seconds, trials.next_at - now + TRIAL_RESULT_SECONDS)

    def count_targets(self, part: bytes) -> int:
        """Return the number of targets that ended with a part."""
        suspect = self._suspects.get(part)
        return len(suspect.ends) if suspect is not None else 0

    def list_refused_parts(self, now: float) -> list[RefusedPart]:
        """Return all refused parts, by own and other gateways' evidence."""
        return self.find_refused(now, self._shared | self._own)

    def list_refused(self, now: float) -> list[QuarantineEntry]:
        """Return the refused parts as entries to store."""
        return [
            QuarantineEntry(refused.part, refused.until)
            for refused in self.list_refused_parts(now)
        ]

    def explains(self, request: bytes, targets: Iterable[str]) -> bool:
        """Return whether a part explains that a request was at these ended targets.

        Other requests with the part were at all of them, and it is refused, or was
        never completed and has as many ends or more.
        """
        needed = set(targets)
        return any(
            (part in self._own or self.find_completed(part) == NEVER)
            and suspect.has_others(request, needed)
            for part, suspect in self._suspects.items()
            if len(suspect.ends) >= len(needed)
        )

    def _find(self, now: float, part: bytes) -> RefusedPart | None:
        own, shared = self._own.get(part), self._shared.get(part)
        refused = own or shared
        if own is not None and shared is not None and shared.until > own.until:
            refused = shared
        return refused if refused is not None and refused.until > now else None

    def _clear(self, part: bytes, completed_at: float) -> bool:
        """Drop evidence until a completion; return whether there was any."""
        shared = self._shared.get(part)
        had_shared = (
            shared is not None
            and completed_at > shared.completed_at + MAX_AGE_ERROR_SECONDS
        )
        if had_shared:
            del self._shared[part]
        suspect = self._suspects.get(part)
        had_ends = suspect is not None and suspect.first_ended_at <= completed_at
        if suspect is not None and had_ends:
            suspect.drop_until(completed_at)
            if not suspect.ends:
                self._remove(part)
            elif len(suspect.ends) < MIN_TARGETS:
                self._candidates.discard(part)
        return had_shared or had_ends

    def _update_refused(self, now: float) -> None:
        """Find the parts that explain ends of targets which no other part explains."""
        refused: dict[bytes, RefusedPart] = {}
        explained: set[str] = set()
        candidates = sorted(self._candidates, key=self._rank)
        for part in candidates:
            if part in refused:
                continue
            suspect = self._suspects[part]
            targets = suspect.ends.keys() - explained
            if not suspect.has_evidence(targets):
                continue
            if len(targets) < MIN_SHARE * self._count_ended(suspect, explained):
                continue
            tied = [
                other
                for other in candidates
                if self._is_tied(part, other, targets, explained)
            ]
            if len(targets) < self._find_min_targets(part, tied):
                continue
            for other in tied:
                refused[other] = self._make_refused(other)
            explained |= targets
        self._own = refused
        for part in [p for p in self._trials if p not in refused | self._shared]:
            del self._trials[part]

    def _count_ended(self, suspect: SuspectedPart, explained: set[str]) -> int:
        """Return how many targets ended while those of a part did."""
        first, last = suspect.first_ended_at, suspect.last_ended_at
        return sum(
            first <= ended_at <= last
            for target, ended_at in self._ended.items()
            if target not in explained
        )

    def _is_tied(
        self, part: bytes, other: bytes, targets: set[str], explained: set[str]
    ) -> bool:
        """Return whether two parts, or one with itself, have the same evidence."""
        suspect = self._suspects[other]
        return (
            suspect.ends.keys() - explained == targets
            and suspect.has_evidence(targets)
            and self._was_completed(other) == self._was_completed(part)
        )

    def _make_refused(self, part: bytes) -> RefusedPart:
        suspect = self._suspects[part]
        until = suspect.last_ended_at + QUARANTINE_SECONDS
        return RefusedPart(
            part, suspect.first_ended_at, until, self.find_completed(part)
        )

    def _rank(self, part: bytes) -> tuple[bool, int, float]:
        suspect = self._suspects[part]
        completed_at = self.find_completed(part)
        return self._was_completed(part), -len(suspect.ends), completed_at

    def _was_completed(self, part: bytes) -> bool:
        """Return whether a completion within a quarantine before its ends is known."""
        first = self._suspects[part].first_ended_at
        return first - self.find_completed(part) < QUARANTINE_SECONDS

    def _find_min_targets(self, part: bytes, tied: list[bytes]) -> int:
        if self._was_completed(part):
            return MIN_TARGETS_COMPLETED
        return MIN_TARGETS_TIED if len(tied) > 1 else MIN_TARGETS

    def _remove_expired(self, now: float) -> None:
        while self._suspects:
            part, suspect = next(iter(self._suspects.items()))
            if now - suspect.last_ended_at < CRASH_RETENTION_SECONDS:
                break
            self._remove(part)
        while self._ended:
            target, ended_at = next(iter(self._ended.items()))
            if now - ended_at < CRASH_RETENTION_SECONDS:
                break
            del self._ended[target]
        for part, refused in list(self._shared.items()):
            if refused.until <= now:
                del self._shared[part]

    def _remove(self, part: bytes) -> None:
        del self._suspects[part]
        self._candidates.discard(part)
