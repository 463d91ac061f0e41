"""Weighted fair queueing between workspaces, short work first within one.

Load pattern: one workspace sends a hundred times its share, or long prompts stand
before short ones. Without it whoever sends most gets the target, and a short request
waits for every long one ahead. Start-time fair queueing charges each workspace its
work divided by its weight; a workspace that was idle starts at the current virtual
time, so it neither loses its share nor saves one up.

Every operation costs a logarithm of what waits: removed entries stay in the heaps until
they surface or outnumber the live ones. Without that each tick and each caller that
leaves would walk ten thousand waiting requests.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Within a workspace a request's place is its arrival plus this multiple of its
# expected seconds: short before long, yet long work is reached after a bounded wait.
STRETCH = 2.0
# A heap is rebuilt when dead entries outnumber live ones and this many.
MIN_DEAD = 64


@dataclass(frozen=True, slots=True)
class Waiting:
    """A request in the queue.

    ``work`` is its expected seconds of target time; started after ``latest_start`` it
    could not finish by its deadline.
    """

    request_id: str
    workspace: str
    weight: float
    priority: int
    arrival: float
    latest_start: float
    work: float

    @property
    def place(self) -> tuple[int, float, str]:
        """Return the order within the workspace; smaller goes first."""
        place = min(self.arrival + STRETCH * self.work, self.latest_start)
        return (self.priority, place, self.request_id)


class _Line:
    """One workspace's waiting requests."""

    __slots__ = ("arrivals", "count", "heap", "virtual", "weight", "work")

    def __init__(self, virtual: float, weight: float) -> None:
        self.heap: list[tuple[tuple[int, float, str], Waiting]] = []
        # In order of arrival, to find the newest.
        self.arrivals: deque[Waiting] = deque()
        self.count = 0
        self.work = 0.0
        self.weight = weight
        # Virtual time at which this workspace's next request starts.
        self.virtual = virtual

    @property
    def load(self) -> float:
        """Return how many requests wait per unit of weight."""
        return self.count / self.weight


class FairQueue:
    """Holds waiting requests and yields them in fair order."""

    def __init__(self) -> None:
        self._lines: dict[str, _Line] = {}
        self._entries: dict[str, Waiting] = {}
        # Heap of (virtual start, workspace); stale entries are skipped when popped.
        self._order: list[tuple[float, str]] = []
        # Heap of (latest start, request id).
        self._latest: list[tuple[float, str]] = []
        # Heap of (minus requests per weight, workspace).
        self._longest: list[tuple[float, str]] = []
        self._virtual = 0.0
        self._work = 0.0
        self._weight = 0.0
        # Virtual time each idle workspace has already used, kept while still ahead.
        self._used: dict[str, float] = {}
        self._used_bound = MIN_DEAD

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def work(self) -> float:
        """Return the expected seconds of all that waits."""
        return self._work

    def count(self, workspace: str) -> int:
        """Return how many requests of ``workspace`` wait."""
        line = self._lines.get(workspace)
        return line.count if line is not None else 0

    def find_share(self, workspace: str, weight: float) -> float:
        """Return the part of the target due to ``workspace`` among those waiting."""
        total = self._weight if workspace in self._lines else self._weight + weight
        return min(1.0, weight / total)

    def estimate_ahead(self, workspace: str, weight: float) -> float:
        """Return the expected seconds of work before a new request of ``workspace``.

        Its own line is served at its share; of each other line about half the first
        requests go before its first.
        """
        line = self._lines.get(workspace)
        own = line.work if line is not None else 0.0
        mean = self._work / max(1, len(self._entries))
        ahead = own / self.find_share(workspace, weight) + mean * len(self._lines) / 2
        return min(self._work, ahead)

    def push(self, waiting: Waiting) -> None:
        """Add a request."""
        workspace = waiting.workspace
        line = self._lines.get(workspace)
        if line is None:
            start = max(self._virtual, self._used.pop(workspace, 0.0))
            line = _Line(start, waiting.weight)
            self._lines[workspace] = line
            self._weight += line.weight
            heapq.heappush(self._order, (start, workspace))
        heapq.heappush(line.heap, (waiting.place, waiting))
        line.arrivals.append(waiting)
        line.count += 1
        line.work += waiting.work
        self._entries[waiting.request_id] = waiting
        self._work += waiting.work
        heapq.heappush(self._latest, (waiting.latest_start, waiting.request_id))
        heapq.heappush(self._longest, (-line.load, workspace))
        self._compact()

    def pop(
        self, is_eligible: Callable[[Waiting], bool] = lambda _: True
    ) -> Waiting | None:
        """Remove and return the next request that is eligible, if there is one.

        Each workspace offers its first one only.
        """
        skipped: list[tuple[float, str]] = []
        found: Waiting | None = None
        while self._order and found is None:
            virtual, workspace = heapq.heappop(self._order)
            line = self._lines.get(workspace)
            if line is None or line.virtual != virtual:
                continue
            first = self._find_first(line)
            if is_eligible(first):
                found = first
                self._take(line, first)
            else:
                skipped.append((virtual, workspace))
        for entry in skipped:
            heapq.heappush(self._order, entry)
        return found

    def remove(self, request_id: str) -> Waiting | None:
        """Take a request out of the queue, if it waits."""
        waiting = self._entries.get(request_id)
        if waiting is None:
            return None
        line = self._lines[waiting.workspace]
        self._forget(waiting, line)
        if len(line.heap) > 2 * line.count + MIN_DEAD:
            line.heap = [entry for entry in line.heap if self._is_live(entry[1])]
            heapq.heapify(line.heap)
            line.arrivals = deque(w for w in line.arrivals if self._is_live(w))
        return waiting

    def charge(self, workspace: str, seconds: float) -> None:
        """Correct what ``workspace`` used by ``seconds`` of target time per weight.

        Without it a workspace whose answers run longer than expected would get more
        than its share with each of them.
        """
        line = self._lines.get(workspace)
        if line is not None:
            line.virtual = max(self._virtual, line.virtual + seconds)
            heapq.heappush(self._order, (line.virtual, workspace))
            return
        used = self._used.get(workspace, self._virtual) + seconds
        self._keep_used(workspace, used)

    def take_late(self, now: float) -> list[Waiting]:
        """Remove and return what could not finish by its deadline even if next."""
        late: list[Waiting] = []
        while self._latest and self._latest[0][0] < now:
            _, request_id = heapq.heappop(self._latest)
            waiting = self.remove(request_id)
            if waiting is not None:
                late.append(waiting)
        return late

    def find_longest(self) -> tuple[str, float] | None:
        """Return the workspace with most requests per weight, and that number."""
        while self._longest:
            load, workspace = self._longest[0]
            line = self._lines.get(workspace)
            if line is not None and line.load == -load:
                return workspace, line.load
            heapq.heappop(self._longest)
            if line is not None and line.load < -load:
                heapq.heappush(self._longest, (-line.load, workspace))
        return None

    def find_newest(self, workspace: str) -> Waiting | None:
        """Return the request of ``workspace`` that came last."""
        line = self._lines.get(workspace)
        if line is None:
            return None
        while not self._is_live(line.arrivals[-1]):
            line.arrivals.pop()
        return line.arrivals[-1]

    def list_all(self) -> list[Waiting]:
        """Return every waiting request."""
        return list(self._entries.values())

    def _is_live(self, waiting: Waiting) -> bool:
        return self._entries.get(waiting.request_id) is waiting

    def _find_first(self, line: _Line) -> Waiting:
        while not self._is_live(line.heap[0][1]):
            heapq.heappop(line.heap)
        return line.heap[0][1]

    def _take(self, line: _Line, first: Waiting) -> None:
        heapq.heappop(line.heap)
        self._virtual = max(self._virtual, line.virtual)
        line.virtual += first.work / first.weight
        heapq.heappush(self._order, (line.virtual, first.workspace))
        self._forget(first, line)

    def _forget(self, waiting: Waiting, line: _Line) -> None:
        del self._entries[waiting.request_id]
        line.count -= 1
        line.work -= waiting.work
        self._work = max(0.0, self._work - waiting.work) if self._entries else 0.0
        while line.arrivals and not self._is_live(line.arrivals[0]):
            line.arrivals.popleft()
        if line.count == 0:
            self._close(waiting.workspace, line)

    def _close(self, workspace: str, line: _Line) -> None:
        del self._lines[workspace]
        self._weight = self._weight - line.weight if self._lines else 0.0
        self._keep_used(workspace, line.virtual)

    def _keep_used(self, workspace: str, virtual: float) -> None:
        if virtual > self._virtual:
            self._used[workspace] = virtual
        else:
            self._used.pop(workspace, None)
        if len(self._used) > self._used_bound:
            ahead = {w: v for w, v in self._used.items() if v > self._virtual}
            self._used = ahead
            self._used_bound = 2 * len(ahead) + MIN_DEAD

    def _compact(self) -> None:
        if len(self._latest) > 2 * len(self._entries) + MIN_DEAD:
            entries = self._entries.values()
            self._latest = [(w.latest_start, w.request_id) for w in entries]
            heapq.heapify(self._latest)
        if len(self._longest) > 2 * len(self._lines) + MIN_DEAD:
            lines = self._lines.items()
            self._longest = [(-line.load, name) for name, line in lines]
            heapq.heapify(self._longest)
        if len(self._order) > 2 * len(self._lines) + MIN_DEAD:
            lines = self._lines.items()
            self._order = [(line.virtual, name) for name, line in lines]
            heapq.heapify(self._order)
