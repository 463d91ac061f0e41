"""Counts the answers of a service's targets by software version, for their comparison.

Load pattern: hundreds of gateways each see some answers of each version. Counts are
cumulative, so that a lost report is made up for by the next one, and times are counted
in buckets, so that counts of all gateways can be added up.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

# Upper bounds of the time buckets in seconds, each 1.6 times the one before: from
# 4 ms to 4.6 s. Longer times fall into a last bucket.
BUCKET_FACTOR = 1.6
BUCKET_SECONDS = tuple(0.004 * BUCKET_FACTOR**number for number in range(16))
# Groups that the targets of the version on trial are divided into.
GROUPS = 4


class AnswerKey(msgspec.Struct, frozen=True, array_like=True):
    """Which answers are counted together."""

    route: str
    # Group of the targets of the version on trial, from 0; None for other versions.
    group: int | None


class AnswerCounts(msgspec.Struct, array_like=True):
    """Answers of one key."""

    failed: int = 0
    # Successful answers by bucket of the time to their first byte.
    by_time: list[int] = msgspec.field(
        default_factory=lambda: [0] * (len(BUCKET_SECONDS) + 1)
    )
    # Successful answers of cold targets, whose time says nothing.
    untimed: int = 0

    @property
    def answers(self) -> int:
        """Return the number of all answers."""
        return self.failed + self.untimed + sum(self.by_time)

    def count_success(self, seconds: float | None) -> None:
        """Count a successful answer; ``seconds`` is None if its time says nothing."""
        if seconds is None:
            self.untimed += 1
        else:
            self.by_time[bisect_left(BUCKET_SECONDS, seconds)] += 1

    def add(self, other: AnswerCounts, factor: int = 1) -> None:
        """Add other counts, or subtract them with a factor of -1."""
        self.failed += factor * other.failed
        self.untimed += factor * other.untimed
        self.by_time = [
            a + factor * b for a, b in zip(self.by_time, other.by_time, strict=True)
        ]


Evidence = dict[AnswerKey, AnswerCounts]


def count_slower(by_time: Sequence[float], seconds: float) -> float:
    """Return how many of the answers by bucket took longer than ``seconds``.

    Within a bucket they are taken to be spread evenly over the logarithm of the time.
    """
    if math.isinf(seconds):
        return 0.0
    position = _find_position(seconds)
    bucket = int(position)
    slower = sum(by_time[bucket + 1 :])
    return slower + by_time[bucket] * (1.0 - (position - bucket))


def find_quantile(by_time: Sequence[float], part: float) -> float:
    """Return the seconds within which a part of the answers came; infinity for none."""
    total = sum(by_time)
    if total <= 0:
        return math.inf
    wanted, covered = total * part, 0.0
    for bucket, count in enumerate(by_time):
        if count and covered + count >= wanted:
            inside = (wanted - covered) / count
            return float(BUCKET_SECONDS[0] * BUCKET_FACTOR ** (bucket - 1 + inside))
        covered += count
    return math.inf


def _find_position(seconds: float) -> float:
    """Return the bucket of a time, and how far into it as the part behind the point."""
    position = math.log(seconds / BUCKET_SECONDS[0], BUCKET_FACTOR) + 1.0
    return min(max(0.0, position), len(BUCKET_SECONDS) + 0.999)


class EvidencePool:
    """Adds up the cumulative counts of all gateways, and returns what came since."""

    def __init__(self) -> None:
        # Start time and last report of each gateway.
        self._reports: dict[str, tuple[int, Evidence]] = {}
        self._new: Evidence = {}

    def record(self, gateway: str, started_ms: int, evidence: Evidence) -> None:
        """Record all that a gateway has counted since ``started_ms``."""
        known_start, known = self._reports.get(gateway, (started_ms, {}))
        if started_ms < known_start:
            return
        if started_ms > known_start:
            known = {}
        for key, counts in evidence.items():
            before = known.get(key)
            if before is not None and counts.answers < before.answers:
                # A report that was overtaken by a later one.
                return
        for key, counts in evidence.items():
            total = self._new.setdefault(key, AnswerCounts())
            total.add(counts)
            if key in known:
                total.add(known[key], -1)
        # A report may hold a part of the keys only.
        self._reports[gateway] = started_ms, {**known, **evidence}

    def take(self) -> Evidence:
        """Return the answers counted since the last call."""
        new, self._new = self._new, {}
        return new
