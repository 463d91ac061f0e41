"""The agent's decisions: start, wait or reject, for one target.

Load pattern: more work than the target can carry. Without it the queue grows until
every answer is late, so that a full system does all the work and answers nobody in
time. Work that cannot meet its deadline is turned away when that is known, with the
time after which there will be room.

A burst may fill the queue. A queue that has not been empty for ``STANDING_QUEUE_AFTER_SECONDS`` is
no burst: it serves nobody more and makes everybody wait, so it is then kept as short as
``MAX_STANDING_QUEUE_SECONDS`` and the rest learns at once when to return.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .concurrency_limit import ConcurrencyLimit
from .cost_estimator import MIN_DECODE_SAMPLE_TOKENS, CostEstimator
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
from .throughput_ratio import ThroughputRatio

if TYPE_CHECKING:
    import random

# Shorter would refuse those whose turn still comes while a burst drains, longer would
# keep everybody waiting under overload (rows "burst" and "overload" of docs/LOAD.md).
STANDING_QUEUE_AFTER_SECONDS = 5.0
# Waits are known to about a third. Without the margin those who were let in just before
# their deadline's wait learn late that it was too long.
WAIT_ESTIMATE_MARGIN = 1.3
# Seconds of work that a standing queue holds: enough that no slot stands empty.
MAX_STANDING_QUEUE_SECONDS = 1.0
MIN_STANDING_QUEUE_LENGTH = 4


class _RunningRequest:
    """A request the target has."""

    __slots__ = ("arrival", "first_token_at", "request", "started_at")

    def __init__(
        self, request: QueuedRequest, arrival: AdmissionRequested, started_at: float
    ) -> None:
        self.request = request
        self.arrival = arrival
        self.started_at = started_at
        self.first_token_at: float | None = None


class AdmissionController:
    """Admits work to one target; one instance per agent."""

    def __init__(
        self, max_running: int, max_waiting: int, random: random.Random
    ) -> None:
        self._max_waiting = max_waiting
        self._limit = ConcurrencyLimit(max_running)
        self._queue = FairQueue()
        self._arrivals: dict[str, AdmissionRequested] = {}
        self._running: dict[str, _RunningRequest] = {}
        self._stopping = False
        self._cost_estimator = CostEstimator()
        self._retry_schedule = RetrySchedule(random)
        self._heavy_hitters = HeavyHitters()
        self._throughput = ThroughputRatio()
        # Since when the queue has not been empty; None while it is.
        self._queue_nonempty_since: float | None = None

    @property
    def running(self) -> int:
        """Return how many requests the target has."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return how many requests wait here."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Return how many requests the target may have at once."""
        return self._limit.value

    @property
    def prefill_rate(self) -> float:
        """Return the measured prompt tokens a second."""
        return self._cost_estimator.prefill_rate

    @property
    def accepting(self) -> bool:
        """Say whether new work is taken at all."""
        return not self._stopping

    def estimate_delay(self) -> float:
        """Return the expected seconds until a new workspace's request would start.

        What a workspace far above its share has waiting is no delay to the others;
        gateways that counted it would crowd the targets where it has the least.
        """
        if len(self._running) < self._limit.value:
            return 0.0
        return self._estimate_start(self._queue.estimate_cost_ahead("", 1.0))

    def handle(self, event: AdmissionEvent) -> list[AdmissionDecision]:
        """Take one event; return the decisions it calls for, in order."""
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
                self._record_first_token(event)
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
        waiting = QueuedRequest(
            event.request_id,
            event.workspace,
            event.weight,
            event.priority,
            event.now,
            event.deadline - cost,
            cost,
        )
        wait = self._estimate_wait(waiting)
        # A queue that stands is no chance bunch that others could take: passed on, its
        # requests would only be turned away there as well.
        if wait > event.max_wait and not self._has_standing_queue(event.now):
            return [Reject(event.request_id, RejectReason.BUSY, 0.0)]
        if self._will_miss_deadline(waiting, event, wait):
            return [self._reject(waiting, event.now, RejectReason.DEADLINE)]
        decisions: list[AdmissionDecision] = []
        if len(self._running) >= self.limit and self._is_full(event.now):
            evicted = self._evict_for(waiting)
            if evicted is None:
                return [self._reject(waiting, event.now, RejectReason.QUEUE_FULL)]
            self._arrivals.pop(evicted.request_id)
            reason = RejectReason.FAIR_SHARE
            decisions.append(self._reject(evicted, event.now, reason))
        self._queue.push(waiting)
        self._arrivals[event.request_id] = event
        return decisions + self._start_next(event.now)

    def _will_miss_deadline(
        self, waiting: QueuedRequest, event: AdmissionRequested, wait: float
    ) -> bool:
        """Say whether a request cannot be answered in time.

        With a slot free it is tried: it takes nobody's place, and the estimate of its
        length is a mean that half of all answers undercut.
        """
        if wait <= 0:
            return event.deadline <= event.now
        return event.now + WAIT_ESTIMATE_MARGIN * wait > waiting.latest_start

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
        """Make room for a workspace below the one with most waiting, if it is.

        Without it one workspace fills the bounded queue and the others are refused,
        however little they ask for.
        """
        largest = self._queue.find_largest_backlog()
        if largest is None:
            return None
        workspace, load = largest
        own = (self._queue.count(arriving.workspace) + 1) / arriving.weight
        if own < load and workspace != arriving.workspace:
            newest = self._queue.find_newest(workspace)
        else:
            # Among its own, an urgent request goes before the newest less urgent one.
            newest = self._queue.find_newest(arriving.workspace)
            if newest is None or newest.priority <= arriving.priority:
                return None
        return self._queue.remove(newest.request_id) if newest is not None else None

    def _start_next(self, now: float) -> list[AdmissionDecision]:
        decisions: list[AdmissionDecision] = []
        while len(self._running) < self._limit.value:
            waiting = self._queue.pop(lambda first: self._may_start(first, now))
            if waiting is None:
                break
            request_id = waiting.request_id
            self._throughput.add_started_cost(waiting.cost)
            arrival = self._arrivals.pop(request_id)
            self._running[request_id] = _RunningRequest(waiting, arrival, now)
            decisions.append(Start(request_id))
        return decisions

    def _may_start(self, waiting: QueuedRequest, now: float) -> bool:
        limit = self._limit.value
        if len(self._running) < self._heavy_hitters.compute_heavy_hitter_slots(limit):
            return True
        return not self._heavy_hitters.is_heavy_hitter(now, waiting.workspace, limit)

    def _record_first_token(self, event: FirstTokenReceived) -> None:
        running = self._running.get(event.request_id)
        if running is None or running.first_token_at is not None:
            return
        running.first_token_at = event.now
        if event.prefill_tokens > 0:
            self._measure_prefill(running, event.prefill_tokens)

    def _measure_prefill(self, running: _RunningRequest, prefill_tokens: int) -> None:
        if running.first_token_at is None:
            return
        seconds = running.first_token_at - running.started_at
        # Prompts that are prefilled together share the engine's speed.
        ratio = self._cost_estimator.compare_first_token(prefill_tokens, seconds) / len(
            self._running
        )
        self._limit.record_first_token(ratio)
        prompt_tokens = running.arrival.prompt_tokens
        self._cost_estimator.record_first_token(prompt_tokens, prefill_tokens, seconds)

    def _handle_end(self, event: RequestFinished) -> list[AdmissionDecision]:
        running = self._running.get(event.request_id)
        if running is None:
            return []
        if event.prefill_tokens > 0:
            self._measure_prefill(running, event.prefill_tokens)
        del self._running[event.request_id]
        seconds = event.now - running.started_at
        self._queue.charge(
            running.request.workspace,
            (seconds - running.request.cost) / running.request.weight,
        )
        if event.succeeded:
            self._record_success(event, running, seconds)
        elif not event.cancelled:
            self._limit.record_failure()
        return self._start_next(event.now)

    def _record_success(
        self, event: RequestFinished, running: _RunningRequest, seconds: float
    ) -> None:
        decode = event.now - (running.first_token_at or running.started_at)
        arrival = running.arrival
        tokens = event.output_tokens
        self._cost_estimator.record_success(seconds, decode, tokens, arrival.max_tokens)
        latency = 0.0
        if tokens >= MIN_DECODE_SAMPLE_TOKENS:
            latency = decode / tokens
        elif arrival.max_tokens == 0:
            latency = seconds
        in_use = len(self._running) + 1
        if len(self._queue) > 0:
            # Those far above their share wait although slots are free.
            in_use = max(in_use, self._limit.value)
        self._limit.record_success(in_use, latency)

    def _stop(self, now: float) -> list[AdmissionDecision]:
        self._stopping = True
        waiting = self._queue.list_all()
        for entry in waiting:
            self._queue.remove(entry.request_id)
        self._arrivals.clear()
        return [self._reject(entry, now, RejectReason.STOPPING) for entry in waiting]

    def _tick(self, now: float) -> list[AdmissionDecision]:
        # Slots that are kept free say nothing of how fast the target works.
        full = len(self._running) >= self._limit.value
        standing = full and len(self._queue) > 0
        self._throughput.tick(now, standing, self._limit.value)
        expired = self._queue.remove_expired(now)
        expired += self._remove_unreachable(now)
        for entry in expired:
            self._arrivals.pop(entry.request_id)
        return [self._reject(entry, now, RejectReason.DEADLINE) for entry in expired]

    def _remove_unreachable(self, now: float) -> list[QueuedRequest]:
        """Take out the newest of the longest lines that will not be reached in time.

        The queue may drain more slowly than it seemed on their arrival; without this
        they would wait until their deadline is past before they are refused.
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

    def _estimate_wait(self, waiting: QueuedRequest) -> float:
        """Return the expected seconds until a newly arrived request starts."""
        if self._has_free_slot(waiting):
            return 0.0
        workspace, weight = waiting.workspace, waiting.weight
        return self._estimate_start(self._queue.estimate_cost_ahead(workspace, weight))

    def _has_free_slot(self, waiting: QueuedRequest) -> bool:
        """Say whether a slot is free for the workspace: others that wait are held."""
        if len(self._running) >= self._limit.value:
            return False
        return self._may_start(waiting, waiting.arrival)

    def _estimate_start(self, cost_ahead: float) -> float:
        """Return the expected seconds until work behind ``cost_ahead`` seconds starts."""
        # One slot falls free after a service time over their number on average.
        over = len(self._running) - self._limit.value
        taken = max(0, 1 + over) * self._cost_estimator.service_seconds
        return (cost_ahead + taken) / max(1, self._limit.value) / self._throughput.value

    def _reject(
        self, waiting: QueuedRequest, now: float, reason: RejectReason
    ) -> Reject:
        if reason is RejectReason.STOPPING:
            return Reject(waiting.request_id, reason, 0.0)
        workspace, weight = waiting.workspace, waiting.weight
        delay = self._estimate_start(self._queue.estimate_cost_ahead(workspace, weight))
        share = self._queue.compute_share(workspace, weight)
        interval = waiting.cost / share / max(1, self._limit.value)
        wait = self._retry_schedule.reserve(now, workspace, delay, interval)
        return Reject(waiting.request_id, reason, wait)
