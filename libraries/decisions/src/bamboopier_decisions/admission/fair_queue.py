"""Weighted fair queue between workspaces, with short requests first within each.

Load pattern: one workspace sends a hundred times its share, or long prompts are queued
before short ones. In a first-in, first-out queue the workspace that sends most gets the
target, and a short request waits for every long one ahead. Start-time fair queueing
charges each workspace the cost of its requests divided by its weight; a workspace that
was idle starts at the current virtual time, so it neither loses its share nor
accumulates credit.

Every operation takes logarithmic time in the number of queued requests: removed entries
stay in the heaps until they reach the top or outnumber the live ones. Otherwise each
tick and each caller that disconnects would scan ten thousand queued requests.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Within a workspace, requests are ordered by arrival plus this multiple of their cost:
# short before long, while a long request still waits for a bounded time only.
COST_DELAY_FACTOR = 2.0
# A heap is rebuilt when its stale entries outnumber the live ones by this many.
MIN_STALE_ENTRIES = 64


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request in the queue.

    ``cost`` is its expected seconds of target time. A request that starts after
    ``latest_start`` cannot finish by its deadline.
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
        """Return the key that orders requests of a workspace; smaller goes first."""
        position = min(self.arrival + COST_DELAY_FACTOR * self.cost, self.latest_start)
        return (self.priority, position, self.request_id)


class _WorkspaceQueue:
    """The queued requests of one workspace."""

    __slots__ = ("arrivals", "cost", "count", "heap", "virtual_start", "weight")

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
        """Return the number of queued requests per unit of weight."""
        return self.count / self.weight


class FairQueue:
    """Holds queued requests and returns them in fair order."""

    def __init__(self) -> None:
        self._queues: dict[str, _WorkspaceQueue] = {}
        self._requests: dict[str, QueuedRequest] = {}
        # Heap of (virtual start, workspace); stale entries are skipped when popped.
        self._by_virtual_start: list[tuple[float, str]] = []
        # Heap of (latest start, request id).
        self._by_latest_start: list[tuple[float, str]] = []
        # Heap of (minus backlog, workspace).
        self._by_backlog: list[tuple[float, str]] = []
        self._virtual_time = 0.0
        self._cost = 0.0
        self._weight = 0.0
        # Virtual time of each idle workspace, stored while ahead of the queue's.
        self._idle_virtual_times: dict[str, float] = {}
        self._idle_bound = MIN_STALE_ENTRIES

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def cost(self) -> float:
        """Return the cost in seconds of all queued requests."""
        return self._cost

    def count(self, workspace: str) -> int:
        """Return how many requests of ``workspace`` are queued."""
        queue = self._queues.get(workspace)
        return queue.count if queue is not None else 0

    def compute_share(self, workspace: str, weight: float) -> float:
        """Return the fair share of ``workspace`` among those with queued requests."""
        total = self._weight if workspace in self._queues else self._weight + weight
        return min(1.0, weight / total)

    def estimate_cost_ahead(self, workspace: str, weight: float) -> float:
        """Return the expected cost in seconds before a new request of ``workspace``.

        The workspace's own queue is served at its share. About half of the other
        workspaces have their first request served before this workspace's first one.
        """
        queue = self._queues.get(workspace)
        own_cost = queue.cost if queue is not None else 0.0
        mean_cost = self._cost / max(1, len(self._requests))
        cost_ahead = (
            own_cost / self.compute_share(workspace, weight)
            + mean_cost * len(self._queues) / 2
        )
        return min(self._cost, cost_ahead)

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
        """Remove and return the next eligible request; None if there is none.

        Only the first request of each workspace is considered.
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
        """Remove and return a request; None if it is not queued."""
        queued = self._requests.get(request_id)
        if queued is None:
            return None
        queue = self._queues[queued.workspace]
        self._discard(queued, queue)
        if len(queue.heap) > 2 * queue.count + MIN_STALE_ENTRIES:
            queue.heap = [entry for entry in queue.heap if self._is_live(entry[1])]
            heapq.heapify(queue.heap)
            queue.arrivals = deque(r for r in queue.arrivals if self._is_live(r))
        return queued

    def charge(self, workspace: str, seconds: float) -> None:
        """Charge ``workspace`` another ``seconds`` of target time per unit of weight.

        ``seconds`` is negative for a refund. Without this correction a workspace whose
        responses take longer than expected would exceed its share with each of them.
        """
        queue = self._queues.get(workspace)
        if queue is not None:
            queue.virtual_start = max(self._virtual_time, queue.virtual_start + seconds)
            heapq.heappush(self._by_virtual_start, (queue.virtual_start, workspace))
            return
        virtual_time = (
            self._idle_virtual_times.get(workspace, self._virtual_time) + seconds
        )
        self._store_idle_virtual_time(workspace, virtual_time)

    def remove_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests that can no longer meet their deadline."""
        expired: list[QueuedRequest] = []
        while self._by_latest_start and self._by_latest_start[0][0] < now:
            _, request_id = heapq.heappop(self._by_latest_start)
            queued = self.remove(request_id)
            if queued is not None:
                expired.append(queued)
        return expired

    def find_largest_backlog(self) -> tuple[str, float] | None:
        """Return the workspace with the largest backlog, and that backlog."""
        while self._by_backlog:
            negated, workspace = self._by_backlog[0]
            queue = self._queues.get(workspace)
            if queue is not None and queue.backlog == -negated:
                return workspace, queue.backlog
            heapq.heappop(self._by_backlog)
            if queue is not None and queue.backlog < -negated:
                heapq.heappush(self._by_backlog, (-queue.backlog, workspace))
        return None

    def find_newest(self, workspace: str) -> QueuedRequest | None:
        """Return the request of ``workspace`` that arrived last."""
        queue = self._queues.get(workspace)
        if queue is None:
            return None
        while not self._is_live(queue.arrivals[-1]):
            queue.arrivals.pop()
        return queue.arrivals[-1]

    def list_all(self) -> list[QueuedRequest]:
        """Return all queued requests."""
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

    def _store_idle_virtual_time(self, workspace: str, virtual_time: float) -> None:
        if virtual_time > self._virtual_time:
            self._idle_virtual_times[workspace] = virtual_time
        else:
            self._idle_virtual_times.pop(workspace, None)
        if len(self._idle_virtual_times) > self._idle_bound:
            ahead = {
                w: t
                for w, t in self._idle_virtual_times.items()
                if t > self._virtual_time
            }
            self._idle_virtual_times = ahead
            self._idle_bound = 2 * len(ahead) + MIN_STALE_ENTRIES

    def _compact(self) -> None:
        if len(self._by_latest_start) > 2 * len(self._requests) + MIN_STALE_ENTRIES:
            requests = self._requests.values()
            self._by_latest_start = [(r.latest_start, r.request_id) for r in requests]
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
