"""Computes Retry-After times such that there is capacity when callers retry.

Load pattern: sustained overload by callers that obey Retry-After. Without reservations,
all that are rejected within a second get the same time and retry together, only to be
rejected again. Each rejection reserves the next interval of its workspace's share of
the target, so the times of one workspace follow each other at the rate at which the
target serves it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

MIN_RETRY_AFTER = 0.25
# Callers that retry at once reserve again and again; longer times are meaningless.
MAX_RETRY_AFTER = 30.0
# Relative random spread. Without it, agents that became full together would name the
# same second.
JITTER = 0.2
MIN_RESERVATIONS = 64


class RetrySchedule:
    """Reserves a time to retry for each rejection, by workspace."""

    def __init__(self, random: random.Random) -> None:
        self._random = random
        self._reserved: dict[str, float] = {}
        self._bound = MIN_RESERVATIONS

    def reserve(
        self, now: float, workspace: str, delay: float, interval: float
    ) -> float:
        """Return the seconds to wait before a retry.

        They are at least ``delay``, and ``interval`` after the workspace's last time.
        """
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
