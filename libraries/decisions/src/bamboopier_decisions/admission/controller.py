"""Admission control for one target: starts, queues or rejects each request.

Load pattern: sustained overload. Without admission control the queue grows until every
response is late: the target does all the work and no caller is served in time. A
request that cannot meet its deadline is rejected as soon as that is known, with the
time after which there will be capacity.

A burst may fill the queue. A queue that has not been empty for
``STANDING_QUEUE_AFTER_SECONDS`` is a standing queue: it adds delay without adding
throughput. It is then limited to ``MAX_STANDING_QUEUE_SECONDS`` of work, and the
requests beyond that are rejected at once with the time to retry.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .concurrency_limit import ConcurrencyLimit
from .cost_estimator import CostEstimator
from .fair_queue import FairQueue, QueuedRequest
from .heavy_hitters import HeavyHitters
from .messages import (
    AdmissionDecision,
    AdmissionEvent,
    AdmissionRequested,
    FirstTokenReceived,
    Reject,
    RejectReason,
    RequestCancelled,
    RequestFinished,
    ResumeRequested,
    Start,
    StopRequested,
    TargetRestarted,
    Tick,
)
from .retry_schedule import RetrySchedule
from .running_requests import RunningRequests
from .throughput_ratio import ThroughputRatio

if TYPE_CHECKING:
    import random

# A shorter time rejects requests that would still be served while a burst drains; a
# longer one delays every request under overload (rows "burst" and "overload" of
# docs/LOAD.md).
STANDING_QUEUE_AFTER_SECONDS = 5.0
# Wait estimates are accurate to about a third. Without the margin, requests that are
# admitted with little time to spare are rejected only after most of their wait.
WAIT_ESTIMATE_MARGIN = 1.3
# Seconds of work that a standing queue holds: enough to keep every slot in use.
MAX_STANDING_QUEUE_SECONDS = 1.0
MIN_STANDING_QUEUE_LENGTH = 4


class AdmissionController:
    """Admits requests to one target; one instance per agent."""

    def __init__(
        self, max_running: int, max_waiting: int, random: random.Random
    ) -> None:
        self._max_waiting = max_waiting
        self._limit = ConcurrencyLimit(max_running)
        self._queue = FairQueue()
        self._arrivals: dict[str, AdmissionRequested] = {}
        self._stopping = False
        self._cost_estimator = CostEstimator()
        self._running = RunningRequests(self._limit, self._cost_estimator)
        self._retry_schedule = RetrySchedule(random)
        self._heavy_hitters = HeavyHitters()
        self._throughput = ThroughputRatio()
        # Time since which the queue has not been empty; None while it is empty.
        self._queue_nonempty_since: float | None = None

    @property
    def running(self) -> int:
        """Return how many requests the target is processing."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return how many requests are queued."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Return how many requests the target may process at once."""
        return self._limit.value

    @property
    def prefill_rate(self) -> float:
        """Return the estimated prefill rate in prompt tokens per second."""
        return self._cost_estimator.prefill_rate

    @property
    def accepting(self) -> bool:
        """Return whether new requests are accepted at all."""
        return not self._stopping

    def estimate_delay(self) -> float:
        """Return the expected seconds until a new workspace's request would start.

        Queued requests of a heavy hitter do not delay other workspaces. If gateways
        counted them, they would crowd the targets where the heavy hitter has the least.
        """
        if len(self._running) < self._limit.value:
            return 0.0
        return self._estimate_start(self._queue.estimate_cost_ahead("", 1.0))

    def handle(self, event: AdmissionEvent) -> list[AdmissionDecision]:
        """Apply an event; return the resulting decisions in order."""
        decisions = self._decide(event)
        if len(self._queue) == 0:
            self._queue_nonempty_since = None
        elif self._queue_nonempty_since is None:
            self._queue_nonempty_since = event.now
        return decisions

    def _decide(self, event: AdmissionEvent) -> list[AdmissionDecision]:
        match event:
            case AdmissionRequested():
                return self._handle_arrival(event)
            case FirstTokenReceived():
                self._running.record_first_token(event)
                return []
            case RequestFinished():
                return self._handle_end(event)
            case RequestCancelled():
                self._queue.remove(event.request_id)
                self._arrivals.pop(event.request_id, None)
                return []
            case TargetRestarted():
                self._limit.reset()
                return []
            case StopRequested():
                return self._stop(event.now)
            case ResumeRequested():
                self._stopping = False
                return []
            case Tick():
                return self._tick(event.now)

    def _handle_arrival(self, event: AdmissionRequested) -> list[AdmissionDecision]:
        if self._stopping:
            return [Reject(event.request_id, RejectReason.STOPPING, 0.0)]
        cost = self._cost_estimator.estimate(event.prompt_tokens, event.max_tokens)
        self._heavy_hitters.record_arrival(
            event.now, event.workspace, event.weight, cost
        )
        queued = QueuedRequest(
            event.request_id,
            event.workspace,
            event.weight,
            event.priority,
            event.now,
            event.deadline - cost,
            cost,
        )
        wait = self._estimate_wait(queued)
        # A standing queue is not a random peak that other targets could absorb: sent
        # on, its requests would be rejected there as well.
        if wait > event.max_wait and not self._has_standing_queue(event.now):
            return [Reject(event.request_id, RejectReason.BUSY, 0.0)]
        if self._will_miss_deadline(queued, event, wait):
            return [self._reject(queued, event.now, RejectReason.DEADLINE)]
        decisions: list[AdmissionDecision] = []
        if len(self._running) >= self.limit and self._is_full(event.now):
            evicted = self._evict_for(queued)
            if evicted is None:
                return [self._reject(queued, event.now, RejectReason.QUEUE_FULL)]
            self._arrivals.pop(evicted.request_id)
            reason = RejectReason.FAIR_SHARE
            decisions.append(self._reject(evicted, event.now, reason))
        self._queue.push(queued)
        self._arrivals[event.request_id] = event
        return decisions + self._start_next(event.now)

    def _will_miss_deadline(
        self, queued: QueuedRequest, event: AdmissionRequested, wait: float
    ) -> bool:
        """Return whether a request cannot be completed by its deadline.

        With a free slot it is started regardless of the estimate: it delays no other
        request, and the estimated length is a mean that half of all responses stay
        below.
        """
        if wait <= 0:
            return event.deadline <= event.now
        return event.now + WAIT_ESTIMATE_MARGIN * wait > queued.latest_start

    def _has_standing_queue(self, now: float) -> bool:
        since = self._queue_nonempty_since
        return since is not None and now - since > STANDING_QUEUE_AFTER_SECONDS

    def _is_full(self, now: float) -> bool:
        bound = self._max_waiting
        if self._has_standing_queue(now):
            rate = self._limit.value / max(0.01, self._cost_estimator.service_seconds)
            bound = min(
                bound,
                max(MIN_STANDING_QUEUE_LENGTH, int(rate * MAX_STANDING_QUEUE_SECONDS)),
            )
        return len(self._queue) >= bound

    def _evict_for(self, arriving: QueuedRequest) -> QueuedRequest | None:
        """Evict and return a queued request in favour of ``arriving``, if one may be.

        The newest request of the workspace with the largest backlog is evicted if the
        arriving request's workspace stays below that backlog. Otherwise one workspace
        fills the bounded queue and all others are rejected, however little they send.
        """
        largest = self._queue.find_largest_backlog()
        if largest is None:
            return None
        workspace, backlog = largest
        own_backlog = (self._queue.count(arriving.workspace) + 1) / arriving.weight
        if own_backlog < backlog and workspace != arriving.workspace:
            newest = self._queue.find_newest(workspace)
        else:
            # Within a workspace, an urgent request replaces the newest less urgent one.
            newest = self._queue.find_newest(arriving.workspace)
            if newest is None or newest.priority <= arriving.priority:
                return None
        return self._queue.remove(newest.request_id) if newest is not None else None

    def _start_next(self, now: float) -> list[AdmissionDecision]:
        decisions: list[AdmissionDecision] = []
        while len(self._running) < self._limit.value:
            queued = self._queue.pop(lambda first: self._may_start(first, now))
            if queued is None:
                break
            request_id = queued.request_id
            self._throughput.add_started_cost(queued.cost)
            self._running.start(queued, self._arrivals.pop(request_id), now)
            decisions.append(Start(request_id))
        return decisions

    def _may_start(self, queued: QueuedRequest, now: float) -> bool:
        limit = self._limit.value
        if len(self._running) < self._heavy_hitters.compute_heavy_hitter_slots(limit):
            return True
        return not self._heavy_hitters.is_heavy_hitter(now, queued.workspace, limit)

    def _handle_end(self, event: RequestFinished) -> list[AdmissionDecision]:
        ended = self._running.end(event, is_queue_empty=len(self._queue) == 0)
        if ended is None:
            return []
        seconds = event.now - ended.started_at
        request = ended.request
        self._queue.charge(request.workspace, (seconds - request.cost) / request.weight)
        return self._start_next(event.now)

    def _stop(self, now: float) -> list[AdmissionDecision]:
        self._stopping = True
        queued = self._queue.list_all()
        for entry in queued:
            self._queue.remove(entry.request_id)
        self._arrivals.clear()
        return [self._reject(entry, now, RejectReason.STOPPING) for entry in queued]

    def _tick(self, now: float) -> list[AdmissionDecision]:
        # Slots kept free from heavy hitters say nothing about the target's throughput.
        full = len(self._running) >= self._limit.value
        standing = full and len(self._queue) > 0
        self._throughput.tick(now, standing, self._limit.value)
        expired = self._queue.remove_expired(now)
        expired += self._remove_unreachable(now)
        for entry in expired:
            self._arrivals.pop(entry.request_id)
        return [self._reject(entry, now, RejectReason.DEADLINE) for entry in expired]

    def _remove_unreachable(self, now: float) -> list[QueuedRequest]:
        """Remove and return the newest requests that will not be reached in time.

        They are taken from the workspaces with the largest backlog. The queue may drain
        more slowly than estimated on their arrival; without this check they would be
        rejected only once it is too late to start them.
        """
        unreachable: list[QueuedRequest] = []
        while len(self._queue) > 0:
            largest = self._queue.find_largest_backlog()
            if largest is None:
                break
            newest = self._queue.find_newest(largest[0])
            start = now + WAIT_ESTIMATE_MARGIN * self._estimate_start(self._queue.cost)
            if newest is None or start <= newest.latest_start:
                break
            self._queue.remove(newest.request_id)
            unreachable.append(newest)
        return unreachable

    def _estimate_wait(self, queued: QueuedRequest) -> float:
        """Return the expected seconds until an arriving request starts."""
        if self._has_free_slot(queued):
            return 0.0
        workspace, weight = queued.workspace, queued.weight
        return self._estimate_start(self._queue.estimate_cost_ahead(workspace, weight))

    def _has_free_slot(self, queued: QueuedRequest) -> bool:
        """Return whether a slot is free for the request's workspace.

        Requests that are queued although a slot is free belong to heavy hitters.
        """
        if len(self._running) >= self._limit.value:
            return False
        return self._may_start(queued, queued.arrival)

    def _estimate_start(self, cost_ahead: float) -> float:
        """Return the expected seconds until a request starts.

        ``cost_ahead`` is the cost in seconds of the queued requests before it.
        """
        # On average a slot becomes free after the service time over the slot count.
        excess = len(self._running) - self._limit.value
        running_cost = max(0, 1 + excess) * self._cost_estimator.service_seconds
        return (
            (cost_ahead + running_cost)
            / max(1, self._limit.value)
            / self._throughput.value
        )

    def _reject(
        self, queued: QueuedRequest, now: float, reason: RejectReason
    ) -> Reject:
        if reason is RejectReason.STOPPING:
            return Reject(queued.request_id, reason, 0.0)
        workspace, weight = queued.workspace, queued.weight
        delay = self._estimate_start(self._queue.estimate_cost_ahead(workspace, weight))
        share = self._queue.compute_share(workspace, weight)
        interval = queued.cost / share / max(1, self._limit.value)
        wait = self._retry_schedule.reserve(now, workspace, delay, interval)
        return Reject(queued.request_id, reason, wait)
