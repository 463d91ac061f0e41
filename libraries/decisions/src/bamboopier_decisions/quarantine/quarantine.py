"""Decides which requests are refused because they crash the targets that run them.

Load pattern: one request crashes each target that runs it, and its caller sends it
again, through any gateway. Without a quarantine every resend takes out up to two more
targets, and a fleet of twelve engines is gone after six sends.

A crash fails every request that the target was running, so one crash proves nothing;
the harmless ones are retried and spread over the other targets. Crashes of two
different targets are evidence, unless another request was running on both targets as
well: neither is refused then, until one of them crashes a target without the other.
When many targets crash within seconds, a data centre or a switch has failed, and no
request is the cause.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

# Different targets that must have crashed with a request.
MIN_CRASHED_TARGETS = 2
# Seconds for which a crash counts: a caller's resends come within minutes.
CRASH_RETENTION_SECONDS = 600.0
# Seconds for which a request is refused. Long enough for its caller to notice, short
# enough that a wrong entry soon ends by itself.
QUARANTINE_SECONDS = 600.0
# More targets than this crashing within OUTAGE_SECONDS is an outage. One request that
# is sent repeatedly crashes two targets each time, and is refused after the first.
OUTAGE_TARGETS = 4
OUTAGE_SECONDS = 10.0
# Records of the same crash arrive within this time; entries are published only then.
SETTLE_SECONDS = 1.0
# Many times what 32 requests per crash, 100 crashes a day and a lost data centre need.
MAX_SUSPECTS = 10_000


class QuarantineEntry(msgspec.Struct, frozen=True):
    """A request that is refused. ``until`` is in seconds on the caller's clock."""

    fingerprint: bytes
    until: float


class _Suspect:
    """The targets that crashed with one request, and the time of the last crash."""

    __slots__ = ("last", "published", "targets")

    def __init__(self) -> None:
        self.targets: dict[str, float] = {}
        self.last = 0.0
        self.published = False


class Quarantine:
    """One gateway's evidence and the entries of the other gateways."""

    def __init__(
        self,
        min_targets: int = MIN_CRASHED_TARGETS,
        refused_seconds: float = QUARANTINE_SECONDS,
    ) -> None:
        self._min_targets = min_targets
        self._refused_seconds = refused_seconds
        self._suspects: OrderedDict[bytes, _Suspect] = OrderedDict()
        self._by_target: dict[str, set[bytes]] = {}
        self._last_crash: dict[str, float] = {}
        self._shared_entries: dict[bytes, float] = {}

    def record_crash(self, now: float, fingerprint: bytes, target: str) -> int:
        """Record that ``target`` crashed while it had the request.

        Return the number of targets that count against the request; 0 if the crash was
        taken for an outage, and the evidence since its start was dropped.
        """
        self._remove_expired(now)
        self._last_crash[target] = now
        if self._is_outage(now):
            self._discard_since(now - OUTAGE_SECONDS)
            return 0
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        self._suspects.move_to_end(fingerprint)
        suspect.targets[target] = now
        suspect.last = now
        self._by_target.setdefault(target, set()).add(fingerprint)
        if len(self._suspects) > MAX_SUSPECTS:
            self._remove(next(iter(self._suspects)))
        return len(suspect.targets)

    def set_shared_entries(self, entries: list[QuarantineEntry]) -> None:
        """Replace the entries that other gateways have published."""
        self._shared_entries = {s.fingerprint: s.until for s in entries}

    def find_wait(self, now: float, fingerprint: bytes) -> float:
        """Return for how many seconds the request is refused; 0 when it is not."""
        until = self._shared_entries.get(fingerprint, 0.0)
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and self._is_culprit(now, fingerprint, suspect):
            until = max(until, suspect.last + self._refused_seconds)
        return max(0.0, until - now)

    def list_unpublished(self, now: float) -> list[QuarantineEntry]:
        """Return the entries to publish, those whose evidence has settled."""
        return [
            QuarantineEntry(fingerprint, suspect.last + self._refused_seconds)
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
        """Return whether enough targets crashed with it, not all also with another."""
        if now - suspect.last >= self._refused_seconds:
            return False
        if len(suspect.targets) < self._min_targets:
            return False
        sharing = (self._by_target[target] for target in suspect.targets)
        return set.intersection(*sharing) == {fingerprint}

    def _is_outage(self, now: float) -> bool:
        recent = [t for t in self._last_crash.values() if now - t < OUTAGE_SECONDS]
        return len(recent) > OUTAGE_TARGETS

    def _discard_since(self, start: float) -> None:
        """Drop the evidence since ``start``, which an outage explains."""
        for fingerprint, suspect in list(self._suspects.items()):
            if suspect.last >= start:
                self._remove(fingerprint)

    def _remove_expired(self, now: float) -> None:
        while self._suspects:
            fingerprint, suspect = next(iter(self._suspects.items()))
            if now - suspect.last < CRASH_RETENTION_SECONDS:
                break
            self._remove(fingerprint)
        for target, last in list(self._last_crash.items()):
            if now - last >= OUTAGE_SECONDS:
                del self._last_crash[target]

    def _remove(self, fingerprint: bytes) -> None:
        suspect = self._suspects.pop(fingerprint)
        for target in suspect.targets:
            self._by_target[target].discard(fingerprint)
            if not self._by_target[target]:
                del self._by_target[target]
