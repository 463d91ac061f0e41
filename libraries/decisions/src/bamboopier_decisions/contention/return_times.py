"""Spreads the return of refused callers over the time that serving them takes.

Load pattern: a crowd asks for four times what engines carry, for many seconds. Callers
that are all told to return within a second are all refused again, and many of them have
no further try. Each one therefore gets a place behind those sent away before it, at the
rate at which requests like it leave. While fewer are sent away than leave, nobody is
told to wait longer than otherwise.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Part of the longest time within which callers return for whom there is no place before
# it: the second half, so that they don't return together.
LATE_PART = 0.5


class ReturnTimes:
    """When the callers that one gateway sent away can be served."""

    __slots__ = ("_next_at",)

    def __init__(self) -> None:
        # When the next one that is sent away could be served.
        self._next_at = float("-inf")

    def plan_return(
        self, now: float, per_second: float, max_seconds: float, random: random.Random
    ) -> float:
        """Return the seconds after which a caller that is sent away can be served.

        ``per_second`` is how many requests like it leave; 0 if unknown, which gives 0.
        The result is at most ``max_seconds``.
        """
        if per_second <= 0:
            return 0.0
        seconds = max(0.0, self._next_at - now)
        if seconds > max_seconds:
            return max_seconds * random.uniform(LATE_PART, 1.0)
        self._next_at = now + seconds + 1.0 / per_second
        return seconds
