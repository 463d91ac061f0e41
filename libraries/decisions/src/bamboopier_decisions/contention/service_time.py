"""Estimates how long a target without an engine takes for a request.

Load pattern: callers ask a plain service for more than it carries. Its targets run a
few requests at once and queue the rest first come, first served, so an answer takes as
long as those before it. What is sent beyond that is answered late, and keeps others
from being in time.
"""

from __future__ import annotations

from collections import deque

# Weight of one observation of the hidden wait: about the last ten count.
WEIGHT = 0.1
# Number of the last answers that the time in a slot is estimated from.
MAX_ANSWERS = 20
# Number of answers from which the estimate is relied on: the few first ones may all
# have waited for requests that this gateway did not know of.
SETTLED_ANSWERS = 10
# Part of the answers that are faster than the estimate for a slot: most of the others
# waited for requests that this gateway did not know of.
FAST_PART = 0.3
# Hidden wait from which targets are contended, as a part of the time in a slot.
CONTENDED_PART = 0.25
# Share of its objective that a request is assumed to take until it is known.
ASSUMED_SHARE = 0.25


class ServiceTime:
    """Moving estimate of how long a slot is occupied, and of the unknown wait.

    Guards against a gateway that gets few callers and whose first answers waited for
    others: an estimate that moves by a part of each answer stays too high for seconds,
    in which nothing seems to be in time, so that no answer corrects it.
    """

    __slots__ = ("_answers", "_hidden_wait", "_seconds")

    def __init__(self) -> None:
        # For which the last answers would have occupied a slot.
        self._answers: deque[float] = deque(maxlen=MAX_ANSWERS)
        # For which a request occupies a slot; None until the first answer.
        self._seconds: float | None = None
        # For which requests waited at targets because of others that were not known.
        self._hidden_wait = 0.0

    @property
    def is_known(self) -> bool:
        """Return whether any answer was recorded."""
        return self._seconds is not None

    @property
    def is_settled(self) -> bool:
        """Return whether enough answers were recorded to rely on the estimate."""
        return len(self._answers) >= SETTLED_ANSWERS

    @property
    def is_contended(self) -> bool:
        """Return whether requests wait at targets for others that were not known."""
        return (
            self._seconds is not None
            and self._hidden_wait > CONTENDED_PART * self._seconds
        )

    def count_turnover(self, slots: int, seconds: float) -> float:
        """Return how many of a busy target's slots become free within ``seconds``."""
        return slots * seconds / self._seconds if self._seconds else 0.0

    def record(self, seconds: float, requests: int, slots: int) -> None:
        """Record an answer after ``seconds``.

        ``requests`` were known to be in flight at the target when it was sent, its own
        included.
        """
        rounds = 1.0 + _count_rounds(requests, slots)
        is_first = self._seconds is None
        self._answers.append(seconds / rounds)
        fast = int(FAST_PART * len(self._answers))
        self._seconds = sorted(self._answers)[fast]
        if is_first:
            return
        hidden = max(0.0, seconds - self._seconds * rounds)
        self._hidden_wait += WEIGHT * (hidden - self._hidden_wait)

    def estimate(self, requests: int, slots: int, objective: float) -> float:
        """Return the seconds until the answer to one more request.

        ``requests`` are known to be in flight at the target.
        """
        if self._seconds is None:
            return objective * ASSUMED_SHARE
        rounds = 1.0 + _count_rounds(requests + 1, slots)
        return self._seconds * rounds + self._hidden_wait

    def estimate_alone(self, objective: float) -> float:
        """Return the same for a target with a free slot."""
        return self.estimate(0, 1, objective)


def _count_rounds(requests: int, slots: int) -> float:
    """Return for how many requests one more waits, until a slot is free for it."""
    return max(0, requests - slots) / max(1, slots)
