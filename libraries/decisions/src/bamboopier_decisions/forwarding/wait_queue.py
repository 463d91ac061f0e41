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
AIM_SHARE = 0.6
# Share of the time left that a request may spend waiting.
LEFT_SHARE = 0.25
# Seconds after which a refused request may come back, at least and at most.
RETURN_SECONDS = (0.4, 1.2)
# Share of the time left that a caller waits at most before it comes back; later hints
# are cut to it, so that many would return at the same moment.
RETURN_SHARE = 0.3


def find_max_wait(latency_objective: float, left: float) -> float:
    """Return the seconds a request may wait for room."""
    return max(0.0, min(latency_objective * AIM_SHARE, left * LEFT_SHARE))


def draw_retry_after(left: float, random: random.Random, room_in: float = 0.0) -> float:
    """Return the seconds after which a refused request should come back.

    There is known to be no room for ``room_in`` seconds; a caller that came back before
    would be refused again.
    """
    shortest, longest = RETURN_SECONDS
    most = left * RETURN_SHARE
    first = min(max(shortest, room_in), most)
    return random.uniform(first, max(first, min(longest, most)))


class WaitQueue:
    """Requests that wait for room, the most urgent first, then the oldest."""

    __slots__ = ("_count", "_entries", "_left")

    def __init__(self) -> None:
        self._entries: list[tuple[int, int]] = []
        self._left: set[int] = set()
        self._count = 0

    def __len__(self) -> int:
        return len(self._entries) - len(self._left)

    def add(self, priority: int) -> int:
        """Add a request; return its ticket."""
        self._count += 1
        heapq.heappush(self._entries, (priority, self._count))
        return self._count

    def remove(self, ticket: int) -> None:
        """Take a request out, wherever it stands."""
        self._left.add(ticket)
        while self._entries and self._entries[0][1] in self._left:
            _, first = heapq.heappop(self._entries)
            self._left.discard(first)

    def count_before(self, priority: int) -> int:
        """Return the requests that go before a new one of ``priority``."""
        return sum(p <= priority and t not in self._left for p, t in self._entries)

    def list_tickets(self, count: int) -> list[int]:
        """Return the next ``count`` requests in order."""
        found = heapq.nsmallest(count + len(self._left), self._entries)
        return [t for _, t in found if t not in self._left][:count]
