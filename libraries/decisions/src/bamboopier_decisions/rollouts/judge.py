"""Judges a software version by its answers, beside those of the others.

Load pattern: a version on trial gets a few requests a second on some routes, while
bursts, cold starts, crashed targets and faults that hit all versions change failures
and times of every version. A fixed limit would blame the version for them, or miss a
version that fails a third of its answers on one route only. Therefore it is compared
with the other versions on the same route at the same time, by a cumulative sum of
log-likelihood ratios: it grows with each bad answer, falls a little with each good one
and never below zero, so that a version which turns bad later is found as fast.

Guards against blaming a version for one bad target: both halves of its targets have to
show the same.
"""

from __future__ import annotations

import math
from enum import StrEnum

from .evidence import AnswerCounts, AnswerKey, Evidence

# Excess of bad answers that counts as a bad version.
EXCESS = 0.15
# Least and greatest assumed share of bad answers of the other versions: none seen does
# not prove that there are none.
MIN_RATE, MAX_RATE = 0.02, 0.8
# Answers, and bad ones among them, that are assumed beside those of other versions.
PRIOR_ANSWERS, PRIOR_BAD = 10.0, 0.5
# Share of the other versions' answers that counts as slow among themselves.
SLOW_SHARE = 0.1
# Buckets of time beyond these from which an answer of the version on trial is slow: 1.6
# times as slow, and 2.6 times where prompts that its targets have not cached are read.
SLOW_BUCKETS, SLOW_PROMPT_BUCKETS = 1, 2
# Seconds in which the counts of the other versions lose half of their weight.
HALF_LIFE_SECONDS = 3.0
# Cumulative sum of one half of the targets from which it shows a bad version. With
# both it takes three bad answers in a row on either.
HALF_THRESHOLD = 5.0
# The same for a version with answers of one half only.
SINGLE_THRESHOLD = 10.0
# Share of a threshold from which a step is better held back.
SUSPICION_SHARE = 0.5
# Name of the sum over all routes.
ALL_ROUTES = "*"


class Verdict(StrEnum):
    """What the answers so far say of a version."""

    GOOD = "good"
    SUSPECT = "suspect"
    BAD = "bad"


class _Sum:
    """Sum for one half of the targets on one route."""

    __slots__ = ("answers", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.answers = 0


class Judge:
    """The evidence for and against one version on trial."""

    def __init__(self, *, has_prompts: bool) -> None:
        self._slow_buckets = SLOW_PROMPT_BUCKETS if has_prompts else SLOW_BUCKETS
        self._others: dict[str, _Weighted] = {}
        self._sums: dict[tuple[str, int], _Sum] = {}
        self._updated_at: float | None = None
        # Answers of the version so far.
        self.answers = 0

    def update(self, now: float, evidence: Evidence) -> None:
        """Take in the answers counted since the last call."""
        self._decay(now)
        for key, counts in evidence.items():
            if key.half is None:
                self._others.setdefault(key.route, _Weighted()).add(counts)
        for key, counts in evidence.items():
            if key.half is not None:
                self._add(key, key.half, counts)

    def find_verdict(self) -> Verdict:
        """Return what all answers so far say."""
        worst = max((self._find_level(r) for r, _ in self._sums), default=0.0)
        if worst >= 1:
            return Verdict.BAD
        return Verdict.SUSPECT if worst >= SUSPICION_SHARE else Verdict.GOOD

    def explain(self) -> str:
        """Return which route shows most, for an operator."""
        routes = {route for route, _ in self._sums}
        worst = max(routes, key=self._find_level, default="")
        sums = [round(s.value, 1) for (r, _), s in self._sums.items() if r == worst]
        return f"route {worst or '-'}: evidence {sums} after {self.answers} answers"

    def _find_level(self, route: str) -> float:
        """Return how much of a threshold the answers on a route have reached."""
        halves = [self._sums.get((route, half)) for half in (0, 1)]
        known = [s for s in halves if s is not None and s.answers]
        if len(known) == 1:
            return known[0].value / SINGLE_THRESHOLD
        return min((s.value / HALF_THRESHOLD for s in known), default=0.0)

    def _decay(self, now: float) -> None:
        if self._updated_at is not None:
            factor = 0.5 ** ((now - self._updated_at) / HALF_LIFE_SECONDS)
            for others in self._others.values():
                others.scale(factor)
        self._updated_at = now

    def _add(self, key: AnswerKey, half: int, counts: AnswerCounts) -> None:
        others = self._others.get(key.route, _Weighted())
        slow_from = others.find_slow_bucket() + self._slow_buckets
        bad = counts.failed + counts.count_slower(slow_from)
        answers = counts.answers
        self.answers += answers
        rate = others.find_bad_rate(slow_from)
        excess = min(rate + EXCESS, 0.95)
        for_bad = math.log(excess / rate)
        for_good = math.log((1 - excess) / (1 - rate))
        for route in (key.route, ALL_ROUTES):
            total = self._sums.setdefault((route, half), _Sum())
            total.answers += answers
            # The good ones first: their order within a fraction of a second is unknown.
            total.value = max(0.0, total.value + (answers - bad) * for_good)
            total.value += bad * for_bad


class _Weighted:
    """Answers of the other versions on one route, of which recent ones count most."""

    def __init__(self) -> None:
        self._failed = 0.0
        self._untimed = 0.0
        self._by_time: list[float] = []

    def add(self, counts: AnswerCounts) -> None:
        self._failed += counts.failed
        self._untimed += counts.untimed
        before = self._by_time or [0.0] * len(counts.by_time)
        self._by_time = [a + b for a, b in zip(before, counts.by_time, strict=True)]

    def scale(self, factor: float) -> None:
        self._failed *= factor
        self._untimed *= factor
        self._by_time = [count * factor for count in self._by_time]

    def find_slow_bucket(self) -> int:
        """Return the last bucket that is not slow; the last of all without answers."""
        total = sum(self._by_time)
        if total <= 0:
            return len(AnswerCounts().by_time)
        covered = 0.0
        for bucket, count in enumerate(self._by_time):
            covered += count
            if covered >= total * (1 - SLOW_SHARE):
                return bucket
        return len(self._by_time)

    def find_bad_rate(self, slow_from: int) -> float:
        """Return the share of bad answers, with what is assumed beside them."""
        bad = self._failed + sum(self._by_time[slow_from + 1 :]) + PRIOR_BAD
        answers = self._failed + self._untimed + sum(self._by_time) + PRIOR_ANSWERS
        return min(MAX_RATE, max(MIN_RATE, bad / answers))
