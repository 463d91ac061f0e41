"""Decides which requests are refused because they crash the targets that run them.

Load pattern: one request crashes each target that runs it, and its callers send it
again, through any gateway, alone or together with other such requests. Without a
quarantine every resend takes out further targets, and a fleet of twelve engines is gone
after six sends.

A crash fails every request that the target was running, so one crash proves nothing;
the harmless ones are retried and spread over the other targets. Crashes of several
different targets are evidence against a request if

- it was sent to one of them after another had already ended with it: when a data centre
  is lost, all repeats of a request that run there were sent before;
- it was never completed in between: no target completes a request that crashes it;
- no other request was on all of these targets as well. Requests that always crash
  together are all refused after one more crash, unless one of them explains them all;
- no part of prompts explains them: a request that is retried from one target to the
  next follows the requests with a part that crashes them.

How many targets crash within a time is no evidence for an outage: two such requests, or
one that is sent often, crash them just as fast.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Different targets that must have crashed with a request.
MIN_CRASHED_TARGETS = 2
# Seconds for which a request is refused. Long enough for its caller to notice, short
# enough that a wrong entry soon ends by itself.
QUARANTINE_SECONDS = 600.0
# Seconds for which a crash counts. Longer than a quarantine, so that one more crash
# after its end renews it.
CRASH_RETENTION_SECONDS = 1200.0
# Records of the same crash arrive within this time; entries are published only then.
SETTLE_SECONDS = 1.0
# Many times what 32 requests per crash, 100 crashes a day and a lost data centre need.
MAX_SUSPECTS = 10_000
# Entries that gateways tell each other age on the way; a later end than this counts as
# news, so that an entry that circulates still ends.
MIN_EXTENSION_SECONDS = 60.0
# Refused requests that were shown to be harmless, and are not refused again because
# other gateways still refuse them.
MAX_CLEARED = 1000


class Crash(msgspec.Struct, frozen=True):
    """A target that ended while it had a request.

    Times are in seconds on the caller's clock.
    """

    fingerprint: bytes
    target: str
    sent_at: float
    ended_at: float


class QuarantineEntry(msgspec.Struct, frozen=True):
    """A request that is refused. ``until`` is in seconds on the caller's clock."""

    fingerprint: bytes
    until: float


class _Suspect:
    """The crashes with one request, by target."""

    __slots__ = ("crashes", "last", "published")

    def __init__(self) -> None:
        self.crashes: dict[str, Crash] = {}
        # When the last of the targets ended.
        self.last = float("-inf")
        self.published = False

    def add(self, crash: Crash) -> None:
        self.crashes[crash.target] = crash
        self.last = max(self.last, crash.ended_at)

    def was_repeated(self, min_spread_seconds: float) -> bool:
        """Return whether a target got the request after another had ended with it.

        All of them must have ended over ``min_spread_seconds`` or more.
        """
        first = min(crash.ended_at for crash in self.crashes.values())
        last_sent = max(crash.sent_at for crash in self.crashes.values())
        return last_sent > first and self.last - first >= min_spread_seconds


class Quarantine:
    """One gateway's evidence and the entries of the other gateways."""

    def __init__(
        self,
        min_targets: int = MIN_CRASHED_TARGETS,
        min_spread_seconds: float = 0.0,
        is_explained: Callable[[bytes, Iterable[str]], bool] = lambda *_: False,
    ) -> None:
        self._min_targets = min_targets
        # Whether something else explains that a request was at these ended targets.
        self._is_explained = is_explained
        # Guards against targets that end at the same moment, a retry of a request
        # included that was sent to one before its end was seen.
        self._min_spread_seconds = min_spread_seconds
        self._suspects: OrderedDict[bytes, _Suspect] = OrderedDict()
        self._by_target: dict[str, set[bytes]] = {}
        self._shared_entries: dict[bytes, float] = {}
        # When requests that had been suspects were completed, the oldest first.
        self._cleared: OrderedDict[bytes, float] = OrderedDict()

    def record_crash(self, now: float, crash: Crash) -> int:
        """Record a crash, seen here or by another gateway.

        Return the number of targets that crashed with the request; 0 if the crash was
        known, or is outdated.
        """
        self._remove_expired(now)
        fingerprint = crash.fingerprint
        if crash.ended_at <= self._cleared.get(fingerprint, float("-inf")):
            return 0
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        if crash.target in suspect.crashes:
            return 0
        self._suspects.move_to_end(fingerprint)
        suspect.add(crash)
        self._by_target.setdefault(crash.target, set()).add(fingerprint)
        if len(self._suspects) > MAX_SUSPECTS:
            self._remove(next(iter(self._suspects)))
        return len(suspect.crashes)

    def record_completed(self, now: float, fingerprint: bytes) -> bool:
        """Record that a target completed the request; return whether it was a suspect.

        All evidence against it so far is dropped.
        """
        shared = self._shared_entries.pop(fingerprint, None)
        if fingerprint in self._suspects:
            self._remove(fingerprint)
        elif shared is None:
            return False
        self._cleared[fingerprint] = now
        self._cleared.move_to_end(fingerprint)
        if len(self._cleared) > MAX_CLEARED:
            self._cleared.popitem(last=False)
        return True

    def set_shared_entries(self, entries: list[QuarantineEntry]) -> None:
        """Replace the entries that other gateways have published."""
        self._shared_entries = {}
        for entry in entries:
            self.add_shared_entry(entry)

    def add_shared_entry(self, entry: QuarantineEntry) -> bool:
        """Add an entry of another gateway; return whether it is news here."""
        # Its last crash, one quarantine ago, is older than the proof of the contrary.
        last_crash = entry.until - QUARANTINE_SECONDS
        if last_crash <= self._cleared.get(entry.fingerprint, float("-inf")):
            return False
        known_until = self._shared_entries.get(entry.fingerprint, float("-inf"))
        if entry.until <= known_until + MIN_EXTENSION_SECONDS:
            return False
        self._shared_entries[entry.fingerprint] = entry.until
        return True

    def find_wait(self, now: float, fingerprint: bytes) -> float:
        """Return for how many seconds the request is refused; 0 when it is not."""
        until = self._shared_entries.get(fingerprint, 0.0)
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and self._is_culprit(now, fingerprint, suspect):
            until = max(until, suspect.last + QUARANTINE_SECONDS)
        return max(0.0, until - now)

    def list_refused(self, now: float) -> list[QuarantineEntry]:
        """Return all entries in force, own and shared ones."""
        own = [
            QuarantineEntry(fingerprint, suspect.last + QUARANTINE_SECONDS)
            for fingerprint, suspect in self._suspects.items()
            if self._is_culprit(now, fingerprint, suspect)
        ]
        found = {entry.fingerprint for entry in own}
        shared = [
            QuarantineEntry(fingerprint, until)
            for fingerprint, until in self._shared_entries.items()
            if until > now and fingerprint not in found
        ]
        return own + shared

    def count_targets(self, fingerprint: bytes) -> int:
        """Return the number of targets that crashed with the request."""
        suspect = self._suspects.get(fingerprint)
        return len(suspect.crashes) if suspect is not None else 0

    def list_unpublished(self, now: float) -> list[QuarantineEntry]:
        """Return the entries to publish, those whose evidence has settled."""
        return [
            QuarantineEntry(fingerprint, suspect.last + QUARANTINE_SECONDS)
            for fingerprint, suspect in self._suspects.items()
            if not suspect.published
            and now - suspect.last >= SETTLE_SECONDS
            and self._is_culprit(now, fingerprint, suspect)
        ]

    def mark_published(self, entries: list[QuarantineEntry]) -> None:
        """Record that ``entries`` have been published."""
        for entry in entries:
            suspect = self._suspects.get(entry.fingerprint)
            if suspect is not None:
                suspect.published = True

    def _is_culprit(self, now: float, fingerprint: bytes, suspect: _Suspect) -> bool:
        if now - suspect.last >= QUARANTINE_SECONDS:
            return False
        count = len(suspect.crashes)
        if count < self._min_targets:
            return False
        if not suspect.was_repeated(self._min_spread_seconds):
            return False
        if self._is_explained(fingerprint, suspect.crashes):
            return False
        sharing = (self._by_target[target] for target in suspect.crashes)
        beside = set.intersection(*sharing) - {fingerprint}
        if not beside:
            return True
        most_beside = max(len(self._suspects[other].crashes) for other in beside)
        return count > self._min_targets and most_beside <= count

    def _remove_expired(self, now: float) -> None:
        while self._suspects:
            fingerprint, suspect = next(iter(self._suspects.items()))
            if now - suspect.last < CRASH_RETENTION_SECONDS:
                break
            self._remove(fingerprint)
        for fingerprint, until in list(self._shared_entries.items()):
            if until <= now:
                del self._shared_entries[fingerprint]

    def _remove(self, fingerprint: bytes) -> None:
        suspect = self._suspects.pop(fingerprint)
        for target in suspect.crashes:
            self._by_target[target].discard(fingerprint)
            if not self._by_target[target]:
                del self._by_target[target]
