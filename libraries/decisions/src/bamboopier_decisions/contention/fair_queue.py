"""Orders the requests that wait for a service, by priority and fairly by workspace.

Load pattern: one workspace asks for three times what a service carries, another for
little. First come, first served would let the quiet one wait behind the loud one.
Start-time fair queueing lets each workspace go on in its turn, whatever it asks for,
and whoever asks for less than its turn waits for one request at most of each other one.
A request that can't be answered in time any more goes last: it would take the place of
one that can.

Thousands wait at once in a burst, at a gateway with a part of a core: each operation
takes time that grows with the logarithm of their number.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections import Counter
from typing import NamedTuple

from sortedcontainers import SortedList


class _Entry(NamedTuple):
    priority: int
    # Virtual time at which its workspace's turn comes.
    start: float
    ticket: int
    workspace: str


class FairQueue:
    """Requests that wait: the most urgent first, then each workspace in its turn."""

    __slots__ = (
        "_count",
        "_entries",
        "_expiries",
        "_finished",
        "_in_time",
        "_late",
        "_virtual_time",
    )

    def __init__(self) -> None:
        self._entries: dict[int, _Entry] = {}
        self._in_time: SortedList[_Entry] = SortedList()
        self._late: SortedList[_Entry] = SortedList()
        # Until when each request in ``_in_time`` may leave and still be answered in
        # time, and its ticket, the earliest first; some may have been removed.
        self._expiries: list[tuple[float, int]] = []
        self._count = 0
        # Start of the last request that left the queue to be served.
        self._virtual_time = 0.0
        # Virtual time at which each workspace's last request has had its turn.
        self._finished: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def workspaces(self) -> Counter[str]:
        """Return how many requests of each workspace wait."""
        return Counter(entry.workspace for entry in self._entries.values())

    def add(
        self, priority: int, workspace: str, in_time_until: float = math.inf
    ) -> int:
        """Add a request; return its ticket."""
        self._count += 1
        start = self._find_start(workspace)
        self._finished[workspace] = start + 1.0
        entry = _Entry(priority, start, self._count, workspace)
        self._entries[entry.ticket] = entry
        self._in_time.add(entry)
        if in_time_until < math.inf:
            heapq.heappush(self._expiries, (in_time_until, entry.ticket))
        return entry.ticket

    def remove(self, ticket: int, *, served: bool = False) -> None:
        """Remove a request, wherever it is in the queue."""
        entry = self._entries.pop(ticket)
        if entry in self._late:
            self._late.remove(entry)
        else:
            self._in_time.remove(entry)
        if served:
            self._virtual_time = max(self._virtual_time, entry.start)
        if not self._entries:
            self._finished.clear()
            self._expiries.clear()

    def count_before(self, priority: int, workspace: str) -> int:
        """Return the number of requests ahead of a new one that can be in time."""
        new = _Entry(priority, self._find_start(workspace), self._count + 1, workspace)
        return int(self._in_time.bisect_left(new))

    def list_tickets(self, count: int, now: float = -math.inf) -> list[int]:
        """Return the tickets of the next ``count`` requests in order.

        ``now`` never goes back.
        """
        self._move_late(now)
        found = itertools.chain(self._in_time, self._late)
        return [entry.ticket for entry in itertools.islice(found, count)]

    def _move_late(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] < now:
            _, ticket = heapq.heappop(self._expiries)
            entry = self._entries.get(ticket)
            if entry is not None:
                self._in_time.remove(entry)
                self._late.add(entry)

    def _find_start(self, workspace: str) -> float:
        return max(self._virtual_time, self._finished.get(workspace, 0.0))
