"""Targets that ended with requests which share a part of their prompts.

Load pattern: a target ends with up to a hundred requests, and those of one session, or
the retries of one request, are at several targets that end. Only different requests,
sent after others had ended targets, speak against the part that they share.
"""

from __future__ import annotations

import msgspec

# Different targets that must have ended with a part.
MIN_TARGETS = 4
# Different requests with the part at these targets.
MIN_REQUESTS = 3
# Time over which the targets must have ended: what ends together has another cause.
MIN_SPREAD_SECONDS = 0.1
# Requests that are remembered for each end of a target with a part.
MAX_REQUESTS_PER_TARGET = 8

NEVER = float("-inf")


class PartCrash(msgspec.Struct, frozen=True):
    """A target that ended while it had a request with a part.

    Parts and requests are digests; times are in seconds on the caller's clock.
    """

    part: bytes
    request: bytes
    target: str
    sent_at: float
    ended_at: float


class _TargetEnd:
    """The end of one target with a part."""

    __slots__ = ("ended_at", "requests", "sent_at")

    def __init__(self) -> None:
        self.requests: set[bytes] = set()
        # When the last of them was sent.
        self.sent_at = NEVER
        self.ended_at = NEVER


class SuspectedPart:
    """The ends of targets with one part, by target."""

    __slots__ = ("ends", "first_ended_at", "last_ended_at")

    def __init__(self) -> None:
        self.ends: dict[str, _TargetEnd] = {}
        self.first_ended_at = float("inf")
        self.last_ended_at = NEVER

    def add(self, crash: PartCrash) -> bool:
        """Add a crash; return whether it is news."""
        end = self.ends.setdefault(crash.target, _TargetEnd())
        is_full = len(end.requests) >= MAX_REQUESTS_PER_TARGET
        if crash.request in end.requests or is_full:
            return False
        end.requests.add(crash.request)
        end.sent_at = max(end.sent_at, crash.sent_at)
        end.ended_at = max(end.ended_at, crash.ended_at)
        self.update_times()
        return True

    def update_times(self) -> None:
        """Update the times of the first and the last end."""
        times = [end.ended_at for end in self.ends.values()]
        self.first_ended_at = min(times, default=float("inf"))
        self.last_ended_at = max(times, default=NEVER)

    def drop_until(self, completed_at: float) -> None:
        """Drop the ends before a completion."""
        self.ends = {
            target: end
            for target, end in self.ends.items()
            if end.ended_at > completed_at
        }
        self.update_times()

    def has_evidence(self, targets: set[str]) -> bool:
        """Return whether the ends of ``targets`` are enough to refuse the part."""
        if len(targets) < MIN_TARGETS:
            return False
        ends = [self.ends[target] for target in targets]
        requests = set[bytes]().union(*(end.requests for end in ends))
        if len(requests) < MIN_REQUESTS or self._is_of_one_request(ends):
            return False
        first = min(end.ended_at for end in ends)
        last = max(end.ended_at for end in ends)
        last_sent = max(end.sent_at for end in ends)
        return last_sent > first and last - first >= MIN_SPREAD_SECONDS

    def has_others(self, request: bytes, targets: set[str]) -> bool:
        """Return whether other requests with the part were at all of ``targets``."""
        return all(
            target in self.ends and self.ends[target].requests - {request}
            for target in targets
        )

    @staticmethod
    def _is_of_one_request(ends: list[_TargetEnd]) -> bool:
        """Return whether one request was at all these targets, and may explain them."""
        return bool(set.intersection(*(end.requests for end in ends)))
