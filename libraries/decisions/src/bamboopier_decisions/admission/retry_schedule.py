"""When those turned away should return, so that there is room when they do.

Load pattern: sustained overload by callers that obey Retry-After. Without bookings all
who are refused within a second get the same hint and return together, to be refused
again. Each refusal books the next piece of its workspace's share of the target, so the
hints of one workspace follow each other at the rate at which the target serves it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

MIN_RETRY_AFTER = 0.25
# Callers that ask again at once book again and again; beyond this a hint says nothing.
MAX_RETRY_AFTER = 30.0
# Hints differ by up to this share, or agents that went full together would answer
# the same second.
JITTER = 0.2
MIN_RESERVATIONS = 64


class RetrySchedule:
    """Books a time per refusal and workspace."""

    def __init__(self, random: random.Random) -> None:
        self._random = random
        self._reserved: dict[str, float] = {}
        self._bound = MIN_RESERVATIONS

    def reserve(
        self, now: float, workspace: str, delay: float, interval: float
    ) -> float:
        """Return the seconds to wait: at least ``delay``, ``interval`` after the last."""
        earliest = now + max(MIN_RETRY_AFTER, delay)
        latest = now + MAX_RETRY_AFTER
        reserved = min(
            latest, max(earliest, self._reserved.get(workspace, 0.0) + interval)
        )
        self._reserved[workspace] = reserved
        if len(self._reserved) > self._bound:
            self._reserved = {w: at for w, at in self._reserved.items() if at > now}
            self._bound = 2 * len(self._reserved) + MIN_RESERVATIONS
        return (reserved - now) * self._random.uniform(1 - JITTER, 1 + JITTER)
