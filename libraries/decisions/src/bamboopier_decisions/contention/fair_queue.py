"""Orders the requests that wait for a service, by priority and fairly by workspace.

Load pattern: one workspace asks for three times what a service carries, another for
little. First come, first served would let the quiet one wait behind the loud one.
Start-time fair queueing lets each workspace go on in its turn, whatever it asks for,
and whoever asks for less than its turn waits for one request at most of each other one.
A request that can't be answered in time any more goes last: it would take the place of
one that can.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter

import msgspec


class _Entry(msgspec.Struct, frozen=True, order=True):
    priority: int
    # Virtual time at which its workspace's turn comes.
    start: float
    ticket: int
    workspace: str
    # Until when it may leave and still be answered in time.
    in_time_until: float


class FairQueue:
    """Requests that wait: the most urgent first, then each workspace in its turn."""

    __slots__ = ("_count", "_entries", "_finished", "_removed", "_virtual_time")

    def __init__(self) -> None:
        self._entries: list[_Entry] = []
        self._removed: set[int] = set()
        self._count = 0
        # Start of the last request that left the queue to be served.
        self._virtual_time = 0.0
        # Virtual time at which each workspace's last request has had its turn.
        self._finished: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._entries) - len(self._removed)

    @property
    def workspaces(self) -> Counter[str]:
        """Return how many requests of each workspace wait."""
        waiting = (e for e in self._entries if e.ticket not in self._removed)
        return Counter(entry.workspace for entry in waiting)

    def add(
        self, priority: int, workspace: str, in_time_until: float = math.inf
    ) -> int:
        """Add a request; return its ticket."""
        self._count += 1
        start = self._find_start(workspace)
        self._finished[workspace] = start + 1.0
        heapq.heappush(
            self._entries,
            _Entry(priority, start, self._count, workspace, in_time_until),
        )
        return self._count

    def remove(self, ticket: int, *, served: bool = False) -> None:
        """Remove a request, wherever it is in the queue."""
        entry = next((e for e in self._entries if e.ticket == ticket), None)
        if served and entry is not None:
            self._virtual_time = max(self._virtual_time, entry.start)
        self._removed.add(ticket)
        while self._entries and self._entries[0].ticket in self._removed:
            self._removed.discard(heapq.heappop(self._entries).ticket)
        if not self._entries:
            self._finished.clear()

    def count_before(self, priority: int, workspace: str) -> int:
        """Return the number of requests ahead of a new one."""
        start = self._find_start(workspace)
        new = _Entry(priority, start, self._count + 1, workspace, math.inf)
        return sum(e < new and e.ticket not in self._removed for e in self._entries)

    def list_tickets(self, count: int, now: float = -math.inf) -> list[int]:
        """Return the tickets of the next ``count`` requests in order."""
        waiting = [e for e in self._entries if e.ticket not in self._removed]
        found = heapq.nsmallest(
            count, waiting, key=lambda e: (e.in_time_until < now, e)
        )
        return [entry.ticket for entry in found]

    def _find_start(self, workspace: str) -> float:
        return max(self._virtual_time, self._finished.get(workspace, 0.0))
