"""How long a request may wait for room, and when a refused one should come back.

Load pattern: a burst fills all targets for a fraction of a second. Refusing at once
wastes the room that falls free a moment later; waiting long costs the caller the time
in which it could go elsewhere. A request waits a part of its aim, the most urgent
first, and is then told when to come back, spread so that they do not return together.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Share of the time to the first byte that a caller hopes for, which may pass in the
# queue. What is served within the rest is still in time.
OBJECTIVE_SHARE = 0.6
# Share of the time left that a request may spend waiting.
REMAINING_SHARE = 0.25
# Seconds after which a refused request may come back, at least and at most.
RETRY_AFTER_SECONDS = (0.4, 1.2)
# Share of the time left that a caller waits at most before it comes back; later hints
# are cut to it, so that many would return at the same moment.
RETRY_AFTER_SHARE = 0.3


def find_max_wait(latency_objective: float, remaining: float) -> float:
    """Return the seconds a request may wait for room."""
    return max(
        0.0, min(latency_objective * OBJECTIVE_SHARE, remaining * REMAINING_SHARE)
    )


def draw_retry_after(
    remaining: float, random: random.Random, capacity_in: float = 0.0
) -> float:
    """Return the seconds after which a refused request should come back.

    There is known to be no room for ``capacity_in`` seconds; a caller that came back before
    would be refused again.
    """
    shortest, longest = RETRY_AFTER_SECONDS
    max_seconds = remaining * RETRY_AFTER_SHARE
    first = min(max(shortest, capacity_in), max_seconds)
    return random.uniform(first, max(first, min(longest, max_seconds)))


class WaitQueue:
    """Requests that wait for room, the most urgent first, then the oldest."""

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
        """Take a request out, wherever it stands."""
        self._removed.add(ticket)
        while self._entries and self._entries[0][1] in self._removed:
            _, first = heapq.heappop(self._entries)
            self._removed.discard(first)

    def count_before(self, priority: int) -> int:
        """Return the requests that go before a new one of ``priority``."""
        return sum(p <= priority and t not in self._removed for p, t in self._entries)

    def list_tickets(self, count: int) -> list[int]:
        """Return the next ``count`` requests in order."""
        found = heapq.nsmallest(count + len(self._removed), self._entries)
        return [t for _, t in found if t not in self._removed][:count]
