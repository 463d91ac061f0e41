"""Judges a software version by its answers, beside those of the others.

Load pattern: a version on trial gets a few requests a second on some routes, while
bursts, cold starts, crashed targets and faults that hit all versions change failures
and times of every version. A fixed limit would blame the version for them, or miss a
version that fails a third of its answers on one route only. Therefore it is compared
with the other versions on the same route at the same time, by cumulative sums of
log-likelihood ratios: each grows with a bad answer, falls a little with a good one and
never below zero, so that a version which turns bad later is found as fast. One sum for
a small and others for great excesses find both with few answers.

Guards against blaming a version for some of its targets, such as one that fails or a
few on slower hardware: its targets are divided into groups, and those that show most
are left out: one of four for failures, half of them for slow answers. A version is bad
if the others show it, too.

Guards against blaming it for what the other versions' answers do not tell exactly: it
is compared with a rate above the one observed, by the error of that.
"""

from __future__ import annotations

import math
from enum import StrEnum

from .evidence import AnswerCounts, AnswerKey, Evidence, count_slower
from .reference import Reference

# Excesses of bad answers that count as a bad version.
EXCESSES = (0.15, 0.35, 0.7)
# Part of the other versions' answers that an answer on trial is compared with, and by
# how many times it has to be slower: more where prompts are read that its targets have
# not cached.
SLOW_PART = 0.75
SLOW_FACTOR, SLOW_PROMPT_FACTOR = 1.9, 2.9
# Parts of the groups that are left out, rounded up.
FAILURES_LEFT_OUT, SLOW_LEFT_OUT = 0.25, 0.5
# Sum over the groups that are not left out from which a version is bad: the logarithm
# of the odds against a good one in some tens of answers.
THRESHOLD = 7.5
# The same for a version with answers of one group only, of which none is left out.
SINGLE_THRESHOLD = 10.0
# Parts of a threshold from which the rise is held back for more answers, and from which
# a version is not completed at its deadline.
DOUBT_PART, SUSPICION_PART = 0.35, 0.6
# Name of the sums over all routes.
ALL_ROUTES = "*"


class Verdict(StrEnum):
    """What the answers so far say of a version."""

    GOOD = "good"
    DOUBTFUL = "doubtful"
    SUSPECT = "suspect"
    BAD = "bad"


class _Kind(StrEnum):
    """What makes an answer bad."""

    FAILED = "failures"
    SLOW = "slow answers"

    @property
    def left_out(self) -> float:
        """Return the part of the groups that is left out."""
        return FAILURES_LEFT_OUT if self is _Kind.FAILED else SLOW_LEFT_OUT


class _Sums:
    """Sums of one group for one kind of bad answers on one route, by excess."""

    __slots__ = ("values",)

    def __init__(self) -> None:
        self.values = [0.0] * len(EXCESSES)

    def add(self, bad: float, good: float, rate: float) -> None:
        """Add answers, where ``rate`` of the other versions' answers are bad."""
        for index, excess in enumerate(EXCESSES):
            expected = min(rate + excess, 0.97)
            for_bad = math.log(expected / rate)
            for_good = math.log((1 - expected) / (1 - rate))
            # The good ones first: their order within a fraction of a second is unknown.
            value = max(0.0, self.values[index] + good * for_good)
            self.values[index] = value + bad * for_bad


class Judge:
    """The evidence for and against one version on trial."""

    def __init__(self, *, has_prompts: bool) -> None:
        self._slow_factor = SLOW_PROMPT_FACTOR if has_prompts else SLOW_FACTOR
        self._others: dict[str, Reference] = {}
        # By route and kind, and by group.
        self._sums: dict[tuple[str, _Kind], dict[int, _Sums]] = {}
        self._updated_at: float | None = None
        # Answers of the version so far, and those of all versions.
        self.answers = 0
        self.all_answers = 0

    def update(self, now: float, evidence: Evidence) -> None:
        """Take in the answers counted since the last call."""
        self._decay(now)
        for key, counts in evidence.items():
            self.all_answers += counts.answers
            if key.group is None:
                self._others.setdefault(key.route, Reference()).add(counts)
        for key, counts in evidence.items():
            if key.group is not None:
                self._add(key, key.group, counts)

    def find_verdict(self) -> Verdict:
        """Return what all answers so far say."""
        worst = max(map(self._find_level, self._sums), default=0.0)
        if worst >= 1:
            return Verdict.BAD
        if worst >= SUSPICION_PART:
            return Verdict.SUSPECT
        return Verdict.DOUBTFUL if worst >= DOUBT_PART else Verdict.GOOD

    def explain(self) -> str:
        """Return which route shows most, for an operator."""
        worst = max(self._sums, key=self._find_level, default=None)
        if worst is None:
            return "no answers"
        route, kind = worst
        groups = {
            group: round(max(sums.values), 1)
            for group, sums in sorted(self._sums[worst].items())
        }
        level = self._find_level(worst)
        return (
            f"{kind.value} on route {route}: {level:.2f} of the threshold, evidence by"
            f" group of targets {groups} after {self.answers} answers"
        )

    def _find_level(self, key: tuple[str, _Kind]) -> float:
        """Return how much of a threshold the answers on a route have reached."""
        groups = self._sums[key].values()
        return max(
            _find_part_of_threshold([sums.values[i] for sums in groups], key[1])
            for i in range(len(EXCESSES))
        )

    def _decay(self, now: float) -> None:
        if self._updated_at is not None:
            for others in self._others.values():
                others.decay(now - self._updated_at)
        self._updated_at = now

    def _add(self, key: AnswerKey, group: int, counts: AnswerCounts) -> None:
        others = self._others.get(key.route, Reference())
        slow_seconds = others.find_quantile(SLOW_PART) * self._slow_factor
        slow = count_slower(counts.by_time, slow_seconds)
        timed = sum(counts.by_time)
        self.answers += counts.answers
        self._add_kind(
            key.route,
            group,
            _Kind.FAILED,
            counts.failed,
            counts.answers - counts.failed,
            others.find_failed_rate(),
        )
        self._add_kind(
            key.route,
            group,
            _Kind.SLOW,
            slow,
            timed - slow,
            others.find_slow_rate(slow_seconds),
        )

    def _add_kind(
        self,
        route: str,
        group: int,
        kind: _Kind,
        bad: float,
        good: float,
        rate: float,
    ) -> None:
        for name in (route, ALL_ROUTES):
            sums = self._sums.setdefault((name, kind), {})
            sums.setdefault(group, _Sums()).add(bad, good, rate)


def _find_part_of_threshold(values: list[float], kind: _Kind) -> float:
    """Return how much of a threshold the sums of the groups have reached."""
    if len(values) == 1:
        return values[0] / SINGLE_THRESHOLD
    left_out = math.ceil(len(values) * kind.left_out)
    return sum(sorted(values)[: len(values) - left_out]) / THRESHOLD
