"""Limits how long a request waits for capacity, and when a rejected one returns.

Load pattern: a burst fills all targets for a fraction of a second. Rejecting at once
wastes the capacity that becomes free a moment later; a long wait costs the caller the
time in which it could be served elsewhere. A request waits for a share of its latency
objective, the most urgent first, and is then rejected with a Retry-After that is
random, so that callers do not return together.
"""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Share of the latency objective that may pass in the queue. A request that is served
# within the rest is still in time.
OBJECTIVE_SHARE = 0.6
# Share of the remaining time that a request may spend waiting.
REMAINING_SHARE = 0.25
# Minimum and maximum seconds after which a rejected request may return.
RETRY_AFTER_SECONDS = (0.4, 1.2)
# Maximum share of the remaining time that a caller waits before it returns. Later
# values are cut to it, and callers with a cut value would return at the same moment.
RETRY_AFTER_SHARE = 0.3


def find_max_wait(latency_objective: float, remaining: float) -> float:
    """Return the maximum seconds that a request may wait for capacity."""
    return max(
        0.0, min(latency_objective * OBJECTIVE_SHARE, remaining * REMAINING_SHARE)
    )


def draw_retry_after(
    remaining: float, random: random.Random, capacity_in: float = 0.0
) -> float:
    """Return the random seconds after which a rejected request should return.

    No capacity is expected for ``capacity_in`` seconds, infinity if that is unknown; a
    caller that returned before would be rejected again. It is told so even if it will
    not wait for as long: what it does then is its own choice.
    """
    shortest, longest = RETRY_AFTER_SECONDS
    max_seconds = remaining * RETRY_AFTER_SHARE
    if math.isinf(capacity_in):
        capacity_in = max_seconds
    first = max(min(shortest, max_seconds), capacity_in)
    spread = longest - shortest
    if capacity_in < max_seconds:
        spread = min(spread, max_seconds - first)
    return random.uniform(first, first + spread)


class WaitQueue:
    """Requests that wait for capacity, the most urgent first, then the oldest."""

    __slots__ = ("_count", "_entries", "_removed")

    def __init__(self) -> None:
        self._entries: list[tuple[int, int]] = []
        self._removed: set[int] = set()
        self._count = 0

    def __len__(self) -> int:
        return len(self._entries) - len(self._removed)

    def add(self, priority: int) -> int:
        """Add a request; return its ticket."""
        self._count += 1
        heapq.heappush(self._entries, (priority, self._count))
        return self._count

    def remove(self, ticket: int) -> None:
        """Remove a request, wherever it is in the queue."""
        self._removed.add(ticket)
        while self._entries and self._entries[0][1] in self._removed:
            _, first = heapq.heappop(self._entries)
            self._removed.discard(first)

    def count_before(self, priority: int) -> int:
        """Return the number of requests ahead of a new one of ``priority``."""
        return sum(p <= priority and t not in self._removed for p, t in self._entries)

    def list_tickets(self, count: int) -> list[int]:
        """Return the tickets of the next ``count`` requests in order."""
        found = heapq.nsmallest(count + len(self._removed), self._entries)
        return [t for _, t in found if t not in self._removed][:count]
