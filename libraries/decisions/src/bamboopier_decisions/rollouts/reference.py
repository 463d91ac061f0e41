"""What the other versions answer, as the measure of a version on trial.

Load pattern: hundreds of answers a second on some routes and a few on others, until the
version on trial gets everything and the others answer nothing more. A fault that hits
all versions raises their failures within half a second; once they get few requests,
what they answered before is all there is to compare with.
"""

from __future__ import annotations

import math

from .evidence import AnswerCounts, count_slower, find_quantile

# Least and greatest assumed share of bad answers of the other versions: none seen does
# not prove that there are none.
MIN_RATE, MAX_RATE = 0.01, 0.8
# Answers, and bad ones among them, that are assumed beside those of other versions.
PRIOR_ANSWERS, PRIOR_BAD = 10.0, 0.5
# Seconds in which the counts of the other versions lose half of their weight, and the
# answers from which they lose none: once they get few requests they are not forgotten.
HALF_LIFE_SECONDS = 3.0
KEPT_ANSWERS = 80.0
# The same for counts that show at once a fault that hits all versions, and how many
# answers these need.
RECENT_HALF_LIFE_SECONDS = 0.4
MIN_RECENT_ANSWERS = 10.0


class Reference:
    """Answers of the other versions on one route: the last seconds, and just now."""

    __slots__ = ("_long", "_recent")

    def __init__(self) -> None:
        self._long = _Weighted()
        self._recent = _Weighted()

    def add(self, counts: AnswerCounts) -> None:
        """Add answers of the other versions."""
        self._long.add(counts)
        self._recent.add(counts)

    def decay(self, seconds: float) -> None:
        """Let the answers so far lose weight."""
        self._long.decay(0.5 ** (seconds / HALF_LIFE_SECONDS), KEPT_ANSWERS)
        self._recent.decay(0.5 ** (seconds / RECENT_HALF_LIFE_SECONDS), 0.0)

    def find_quantile(self, part: float) -> float:
        """Return the seconds within which a part of the answers came."""
        return self._long.find_quantile(part)

    def find_failed_rate(self) -> float:
        """Return the greater of the shares of failed answers."""
        rate = self._long.find_failed_rate()
        if self._recent.answers < MIN_RECENT_ANSWERS:
            return rate
        return max(rate, self._recent.find_failed_rate())

    def find_slow_rate(self, slow_seconds: float) -> float:
        """Return the greater of the shares of timed answers that took longer."""
        rate = self._long.find_slow_rate(slow_seconds)
        if self._recent.answers < MIN_RECENT_ANSWERS:
            return rate
        return max(rate, self._recent.find_slow_rate(slow_seconds))


class _Weighted:
    """Answers whose weight falls with time."""

    def __init__(self) -> None:
        self._failed = 0.0
        self._untimed = 0.0
        self._by_time: list[float] = []

    @property
    def answers(self) -> float:
        """Return the weight of all answers."""
        return self._failed + self._untimed + sum(self._by_time)

    def add(self, counts: AnswerCounts) -> None:
        self._failed += counts.failed
        self._untimed += counts.untimed
        before = self._by_time or [0.0] * len(counts.by_time)
        self._by_time = [a + b for a, b in zip(before, counts.by_time, strict=True)]

    def decay(self, factor: float, kept: float) -> None:
        """Multiply the counts by ``factor``, but keep a number of answers."""
        answers = self.answers
        if answers <= kept:
            return
        factor = max(factor, kept / answers)
        self._failed *= factor
        self._untimed *= factor
        self._by_time = [count * factor for count in self._by_time]

    def find_quantile(self, part: float) -> float:
        """Return the seconds within which a part of the answers came."""
        return find_quantile(self._by_time, part)

    def find_failed_rate(self) -> float:
        """Return the share of failed answers, with what is assumed and its error."""
        return _estimate_rate(self._failed, self.answers)

    def find_slow_rate(self, slow_seconds: float) -> float:
        """Return the same for the timed answers that took longer than some seconds."""
        slow = count_slower(self._by_time, slow_seconds) if self._by_time else 0.0
        return _estimate_rate(slow, sum(self._by_time))


def _estimate_rate(bad: float, answers: float) -> float:
    answers += PRIOR_ANSWERS
    rate = (bad + PRIOR_BAD) / answers
    rate += math.sqrt(rate * (1 - rate) / answers)
    return min(MAX_RATE, max(MIN_RATE, rate))
