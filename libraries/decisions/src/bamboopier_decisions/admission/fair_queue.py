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
COST_DELAY_FACTOR = 2.0
# A heap is rebuilt when dead entries outnumber live ones and this many.
MIN_STALE_ENTRIES = 64


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request in the queue.

    ``cost`` is its expected seconds of target time; started after ``latest_start`` it
    could not finish by its deadline.
    """

    request_id: str
    workspace: str
    weight: float
    priority: int
    arrival: float
    latest_start: float
    cost: float

    @property
    def sort_key(self) -> tuple[int, float, str]:
        """Return the order within the workspace; smaller goes first."""
        sort_key = min(self.arrival + COST_DELAY_FACTOR * self.cost, self.latest_start)
        return (self.priority, sort_key, self.request_id)


class _WorkspaceQueue:
    """One workspace's waiting requests."""

    __slots__ = ("arrivals", "count", "heap", "virtual_start", "weight", "cost")

    def __init__(self, virtual_start: float, weight: float) -> None:
        self.heap: list[tuple[tuple[int, float, str], QueuedRequest]] = []
        # In order of arrival, to find the newest.
        self.arrivals: deque[QueuedRequest] = deque()
        self.count = 0
        self.cost = 0.0
        self.weight = weight
        # Virtual time at which this workspace's next request starts.
        self.virtual_start = virtual_start

    @property
    def backlog(self) -> float:
        """Return how many requests wait per unit of weight."""
        return self.count / self.weight


class FairQueue:
    """Holds waiting requests and yields them in fair order."""

    def __init__(self) -> None:
        self._queues: dict[str, _WorkspaceQueue] = {}
        self._requests: dict[str, QueuedRequest] = {}
        # Heap of (virtual start, workspace); stale entries are skipped when popped.
        self._by_virtual_start: list[tuple[float, str]] = []
        # Heap of (latest start, request id).
        self._by_latest_start: list[tuple[float, str]] = []
        # Heap of (minus requests per weight, workspace).
        self._by_backlog: list[tuple[float, str]] = []
        self._virtual_time = 0.0
        self._cost = 0.0
        self._weight = 0.0
        # Virtual time each idle workspace has already used, kept while still ahead.
        self._idle_virtual_times: dict[str, float] = {}
        self._idle_bound = MIN_STALE_ENTRIES

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def cost(self) -> float:
        """Return the expected seconds of all that waits."""
        return self._cost

    def count(self, workspace: str) -> int:
        """Return how many requests of ``workspace`` wait."""
        queue = self._queues.get(workspace)
        return queue.count if queue is not None else 0

    def compute_share(self, workspace: str, weight: float) -> float:
        """Return the part of the target due to ``workspace`` among those waiting."""
        total = self._weight if workspace in self._queues else self._weight + weight
        return min(1.0, weight / total)

    def estimate_cost_ahead(self, workspace: str, weight: float) -> float:
        """Return the expected seconds of work before a new request of ``workspace``.

        Its own line is served at its share; of each other line about half the first
        requests go before its first.
        """
        queue = self._queues.get(workspace)
        own = queue.cost if queue is not None else 0.0
        mean = self._cost / max(1, len(self._requests))
        ahead = (
            own / self.compute_share(workspace, weight) + mean * len(self._queues) / 2
        )
        return min(self._cost, ahead)

    def push(self, queued: QueuedRequest) -> None:
        """Add a request."""
        workspace = queued.workspace
        queue = self._queues.get(workspace)
        if queue is None:
            start = max(
                self._virtual_time, self._idle_virtual_times.pop(workspace, 0.0)
            )
            queue = _WorkspaceQueue(start, queued.weight)
            self._queues[workspace] = queue
            self._weight += queue.weight
            heapq.heappush(self._by_virtual_start, (start, workspace))
        heapq.heappush(queue.heap, (queued.sort_key, queued))
        queue.arrivals.append(queued)
        queue.count += 1
        queue.cost += queued.cost
        self._requests[queued.request_id] = queued
        self._cost += queued.cost
        heapq.heappush(self._by_latest_start, (queued.latest_start, queued.request_id))
        heapq.heappush(self._by_backlog, (-queue.backlog, workspace))
        self._compact()

    def pop(
        self, is_eligible: Callable[[QueuedRequest], bool] = lambda _: True
    ) -> QueuedRequest | None:
        """Remove and return the next request that is eligible, if there is one.

        Each workspace offers its first one only.
        """
        skipped: list[tuple[float, str]] = []
        found: QueuedRequest | None = None
        while self._by_virtual_start and found is None:
            virtual_start, workspace = heapq.heappop(self._by_virtual_start)
            queue = self._queues.get(workspace)
            if queue is None or queue.virtual_start != virtual_start:
                continue
            first = self._find_first(queue)
            if is_eligible(first):
                found = first
                self._dequeue(queue, first)
            else:
                skipped.append((virtual_start, workspace))
        for entry in skipped:
            heapq.heappush(self._by_virtual_start, entry)
        return found

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Take a request out of the queue, if it waits."""
        queued = self._requests.get(request_id)
        if queued is None:
            return None
        queue = self._queues[queued.workspace]
        self._discard(queued, queue)
        if len(queue.heap) > 2 * queue.count + MIN_STALE_ENTRIES:
            queue.heap = [entry for entry in queue.heap if self._is_live(entry[1])]
            heapq.heapify(queue.heap)
            queue.arrivals = deque(w for w in queue.arrivals if self._is_live(w))
        return queued

    def charge(self, workspace: str, seconds: float) -> None:
        """Correct what ``workspace`` used by ``seconds`` of target time per weight.

        Without it a workspace whose answers run longer than expected would get more
        than its share with each of them.
        """
        queue = self._queues.get(workspace)
        if queue is not None:
            queue.virtual_start = max(self._virtual_time, queue.virtual_start + seconds)
            heapq.heappush(self._by_virtual_start, (queue.virtual_start, workspace))
            return
        used = self._idle_virtual_times.get(workspace, self._virtual_time) + seconds
        self._store_idle_virtual_time(workspace, used)

    def remove_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return what could not finish by its deadline even if next."""
        expired: list[QueuedRequest] = []
        while self._by_latest_start and self._by_latest_start[0][0] < now:
            _, request_id = heapq.heappop(self._by_latest_start)
            queued = self.remove(request_id)
            if queued is not None:
                expired.append(queued)
        return expired

    def find_largest_backlog(self) -> tuple[str, float] | None:
        """Return the workspace with most requests per weight, and that number."""
        while self._by_backlog:
            backlog, workspace = self._by_backlog[0]
            queue = self._queues.get(workspace)
            if queue is not None and queue.backlog == -backlog:
                return workspace, queue.backlog
            heapq.heappop(self._by_backlog)
            if queue is not None and queue.backlog < -backlog:
                heapq.heappush(self._by_backlog, (-queue.backlog, workspace))
        return None

    def find_newest(self, workspace: str) -> QueuedRequest | None:
        """Return the request of ``workspace`` that came last."""
        queue = self._queues.get(workspace)
        if queue is None:
            return None
        while not self._is_live(queue.arrivals[-1]):
            queue.arrivals.pop()
        return queue.arrivals[-1]

    def list_all(self) -> list[QueuedRequest]:
        """Return every waiting request."""
        return list(self._requests.values())

    def _is_live(self, queued: QueuedRequest) -> bool:
        return self._requests.get(queued.request_id) is queued

    def _find_first(self, queue: _WorkspaceQueue) -> QueuedRequest:
        while not self._is_live(queue.heap[0][1]):
            heapq.heappop(queue.heap)
        return queue.heap[0][1]

    def _dequeue(self, queue: _WorkspaceQueue, first: QueuedRequest) -> None:
        heapq.heappop(queue.heap)
        self._virtual_time = max(self._virtual_time, queue.virtual_start)
        queue.virtual_start += first.cost / first.weight
        heapq.heappush(self._by_virtual_start, (queue.virtual_start, first.workspace))
        self._discard(first, queue)

    def _discard(self, queued: QueuedRequest, queue: _WorkspaceQueue) -> None:
        del self._requests[queued.request_id]
        queue.count -= 1
        queue.cost -= queued.cost
        self._cost = max(0.0, self._cost - queued.cost) if self._requests else 0.0
        while queue.arrivals and not self._is_live(queue.arrivals[0]):
            queue.arrivals.popleft()
        if queue.count == 0:
            self._remove_queue(queued.workspace, queue)

    def _remove_queue(self, workspace: str, queue: _WorkspaceQueue) -> None:
        del self._queues[workspace]
        self._weight = self._weight - queue.weight if self._queues else 0.0
        self._store_idle_virtual_time(workspace, queue.virtual_start)

    def _store_idle_virtual_time(self, workspace: str, virtual_start: float) -> None:
        if virtual_start > self._virtual_time:
            self._idle_virtual_times[workspace] = virtual_start
        else:
            self._idle_virtual_times.pop(workspace, None)
        if len(self._idle_virtual_times) > self._idle_bound:
            ahead = {
                w: v
                for w, v in self._idle_virtual_times.items()
                if v > self._virtual_time
            }
            self._idle_virtual_times = ahead
            self._idle_bound = 2 * len(ahead) + MIN_STALE_ENTRIES

    def _compact(self) -> None:
        if len(self._by_latest_start) > 2 * len(self._requests) + MIN_STALE_ENTRIES:
            entries = self._requests.values()
            self._by_latest_start = [(w.latest_start, w.request_id) for w in entries]
            heapq.heapify(self._by_latest_start)
        if len(self._by_backlog) > 2 * len(self._queues) + MIN_STALE_ENTRIES:
            queues = self._queues.items()
            self._by_backlog = [(-queue.backlog, name) for name, queue in queues]
            heapq.heapify(self._by_backlog)
        if len(self._by_virtual_start) > 2 * len(self._queues) + MIN_STALE_ENTRIES:
            queues = self._queues.items()
            self._by_virtual_start = [
                (queue.virtual_start, name) for name, queue in queues
            ]
            heapq.heapify(self._by_virtual_start)
