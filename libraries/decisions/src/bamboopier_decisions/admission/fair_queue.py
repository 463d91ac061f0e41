"""Weighted fair queueing between workspaces, short work first within one.

Load pattern: one workspace sends a hundred times its share, or long prompts stand
before short ones. Without it whoever sends most gets the target, and a short request
waits for every long one ahead. Start-time fair queueing charges each workspace its
work divided by its weight; a workspace that was idle starts at the current virtual
time, so it neither loses its share nor saves one up.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass

# Within a workspace a request's place is its arrival plus this multiple of its
# expected seconds: short before long, yet long work is reached after a bounded wait.
STRETCH = 2.0


@dataclass(frozen=True, slots=True)
class Waiting:
    """A request in the queue. ``work`` is its expected seconds of target time."""

    request_id: str
    workspace: str
    weight: float
    priority: int
    arrival: float
    deadline: float
    work: float

    @property
    def place(self) -> tuple[int, float, str]:
        """Return the order within the workspace; smaller goes first."""
        return (self.priority, self.arrival + STRETCH * self.work, self.request_id)


class _Line:
    """One workspace's waiting requests."""

    __slots__ = ("heap", "virtual")

    def __init__(self, virtual: float) -> None:
        self.heap: list[tuple[tuple[int, float, str], Waiting]] = []
        # Virtual time at which this workspace's next request starts.
        self.virtual = virtual


class FairQueue:
    """Holds waiting requests and yields them in fair order."""

    def __init__(self) -> None:
        self._lines: dict[str, _Line] = {}
        self._entries: dict[str, Waiting] = {}
        # Heap of (virtual start, workspace); stale entries are skipped when popped.
        self._order: list[tuple[float, str]] = []
        self._virtual = 0.0
        self._work = 0.0
        # Virtual time each idle workspace has already used, kept while still ahead.
        self._used: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def work(self) -> float:
        """Return the expected seconds of all that waits."""
        return self._work

    def count(self, workspace: str) -> int:
        """Return how many requests of ``workspace`` wait."""
        line = self._lines.get(workspace)
        return len(line.heap) if line is not None else 0

    def push(self, waiting: Waiting) -> None:
        """Add a request."""
        line = self._lines.get(waiting.workspace)
        if line is None:
            start = max(self._virtual, self._used.pop(waiting.workspace, 0.0))
            line = _Line(start)
            self._lines[waiting.workspace] = line
            heapq.heappush(self._order, (start, waiting.workspace))
        heapq.heappush(line.heap, (waiting.place, waiting))
        self._entries[waiting.request_id] = waiting
        self._work += waiting.work

    def pop(self) -> Waiting | None:
        """Remove and return the next request, or None when the queue is empty."""
        while self._order:
            virtual, workspace = heapq.heappop(self._order)
            line = self._lines.get(workspace)
            if line is None or line.virtual != virtual:
                continue
            _, waiting = heapq.heappop(line.heap)
            self._virtual = max(self._virtual, virtual)
            line.virtual = virtual + waiting.work / waiting.weight
            self._settle(workspace, line)
            self._forget(waiting)
            return waiting
        return None

    def remove(self, request_id: str) -> Waiting | None:
        """Take a request out of the queue, if it waits."""
        waiting = self._entries.get(request_id)
        if waiting is None:
            return None
        line = self._lines[waiting.workspace]
        line.heap = [entry for entry in line.heap if entry[1] is not waiting]
        heapq.heapify(line.heap)
        if not line.heap:
            self._close(waiting.workspace, line)
        self._forget(waiting)
        return waiting

    def find_late(self, now: float) -> list[Waiting]:
        """Return the requests that could not finish by their deadline even if next."""
        return [w for w in self._entries.values() if now + w.work > w.deadline]

    def list_all(self) -> list[Waiting]:
        """Return every waiting request."""
        return list(self._entries.values())

    def _settle(self, workspace: str, line: _Line) -> None:
        if line.heap:
            heapq.heappush(self._order, (line.virtual, workspace))
        else:
            self._close(workspace, line)

    def _close(self, workspace: str, line: _Line) -> None:
        del self._lines[workspace]
        self._used = {w: v for w, v in self._used.items() if v > self._virtual}
        if line.virtual > self._virtual:
            self._used[workspace] = line.virtual

    def _forget(self, waiting: Waiting) -> None:
        del self._entries[waiting.request_id]
        self._work = max(0.0, self._work - waiting.work)
