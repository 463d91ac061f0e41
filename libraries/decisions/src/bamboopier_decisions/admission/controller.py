"""The agent's decisions: start, wait or reject, for one target.

Load pattern: more work than the target can carry. Without it the queue grows until
every answer is late, so that a full system does all the work and answers nobody in
time. Work that cannot meet its deadline is turned away when that is known, with the
time after which there will be room.

A burst may fill the queue. A queue that has not been empty for ``STANDING_SECONDS`` is
no burst: it serves nobody more and makes everybody wait, so it is then kept as short as
``STANDING_WAIT`` and the rest learns at once when to return.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .concurrency_limit import ConcurrencyLimit
from .throughput_ratio import ThroughputRatio
from .cost_estimator import MIN_DECODE_SAMPLE_TOKENS, CostEstimator
from .fair_queue import FairQueue, QueuedRequest
from .heavy_hitters import HeavyHitters
from .messages import (
    AdmissionDecision,
    AdmissionEvent,
    FirstTokenReceived,
    Reject,
    RejectReason,
    ResumeRequested,
    Start,
    StopRequested,
    TargetRestarted,
    Tick,
    AdmissionRequested,
    RequestFinished,
    RequestCancelled,
)
from .retry_schedule import RetrySchedule

if TYPE_CHECKING:
    import random

# Shorter would refuse those whose turn still comes while a burst drains, longer would
# keep everybody waiting under overload (rows "burst" and "overload" of docs/LOAD.md).
STANDING_SECONDS = 5.0
# Waits are known to about a third. Without the margin those who were let in just before
# their deadline's wait learn late that it was too long.
WAIT_MARGIN = 1.3
# Seconds of work that a standing queue holds: enough that no slot stands empty.
STANDING_WAIT = 1.0
MIN_QUEUE = 4


class _Running:
    """A request the target has."""

    __slots__ = ("first", "started", "work", "work_arrived")

    def __init__(self, work: QueuedRequest, arrived: AdmissionRequested, started: float) -> None:
        self.work = work
        self.work_arrived = arrived
        self.started = started
        self.first: float | None = None


class AdmissionController:
    """Admits work to one target; one instance per agent."""

    def __init__(
        self, max_running: int, max_waiting: int, random: random.Random
    ) -> None:
        self._max_waiting = max_waiting
        self._limit = ConcurrencyLimit(max_running)
        self._queue = FairQueue()
        self._arrived: dict[str, AdmissionRequested] = {}
        self._running: dict[str, _Running] = {}
        self._stopping = False
        self._cost_estimator = CostEstimator()
        self._retry_schedule = RetrySchedule(random)
        self._heavy_hitters = HeavyHitters()
        self._throughput = ThroughputRatio()
        # Since when the queue has not been empty; None while it is.
        self._standing_since: float | None = None

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
            self._standing_since = None
        elif self._standing_since is None:
            self._standing_since = event.now
        return decisions

    def _decide(self, event: AdmissionEvent) -> list[AdmissionDecision]:
        match event:
            case AdmissionRequested():
                return self._arrive(event)
            case FirstTokenReceived():
                self._note_first(event)
                return []
            case RequestFinished():
                return self._end(event)
            case RequestCancelled():
                self._queue.remove(event.request_id)
                self._arrived.pop(event.request_id, None)
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

    def _arrive(self, event: AdmissionRequested) -> list[AdmissionDecision]:
        if self._stopping:
            return [Reject(event.request_id, RejectReason.STOPPING, 0.0)]
        work = self._cost_estimator.estimate(event.prompt_tokens, event.max_tokens)
        self._heavy_hitters.record_arrival(event.now, event.workspace, event.weight, work)
        waiting = QueuedRequest(
            event.request_id,
            event.workspace,
            event.weight,
            event.priority,
            event.now,
            event.deadline - work,
            work,
        )
        wait = self._estimate_wait(waiting)
        # A queue that stands is no chance bunch that others could take: passed on, its
        # requests would only be turned away there as well.
        if wait > event.max_wait and not self._is_standing(event.now):
            return [Reject(event.request_id, RejectReason.BUSY, 0.0)]
        if self._is_hopeless(waiting, event, wait):
            return [self._reject(waiting, event.now, RejectReason.DEADLINE)]
        decisions: list[AdmissionDecision] = []
        if len(self._running) >= self.limit and self._is_full(event.now):
            pushed_out = self._push_out(waiting)
            if pushed_out is None:
                return [self._reject(waiting, event.now, RejectReason.QUEUE_FULL)]
            self._arrived.pop(pushed_out.request_id)
            reason = RejectReason.FAIR_SHARE
            decisions.append(self._reject(pushed_out, event.now, reason))
        self._queue.push(waiting)
        self._arrived[event.request_id] = event
        return decisions + self._start_next(event.now)

    def _is_hopeless(self, waiting: QueuedRequest, event: AdmissionRequested, wait: float) -> bool:
        """Say whether a request cannot be answered in time.

        With a slot free it is tried: it takes nobody's place, and the estimate of its
        length is a mean that half of all answers undercut.
        """
        if wait <= 0:
            return event.deadline <= event.now
        return event.now + WAIT_MARGIN * wait > waiting.latest_start

    def _is_standing(self, now: float) -> bool:
        since = self._standing_since
        return since is not None and now - since > STANDING_SECONDS

    def _is_full(self, now: float) -> bool:
        bound = self._max_waiting
        if self._is_standing(now):
            rate = self._limit.value / max(0.01, self._cost_estimator.service_seconds)
            bound = min(bound, max(MIN_QUEUE, int(rate * STANDING_WAIT)))
        return len(self._queue) >= bound

    def _push_out(self, newcomer: QueuedRequest) -> QueuedRequest | None:
        """Make room for a workspace below the one with most waiting, if it is.

        Without it one workspace fills the bounded queue and the others are refused,
        however little they ask for.
        """
        longest = self._queue.find_largest_backlog()
        if longest is None:
            return None
        workspace, load = longest
        own = (self._queue.count(newcomer.workspace) + 1) / newcomer.weight
        if own < load and workspace != newcomer.workspace:
            newest = self._queue.find_newest(workspace)
        else:
            # Among its own, an urgent request goes before the newest less urgent one.
            newest = self._queue.find_newest(newcomer.workspace)
            if newest is None or newest.priority <= newcomer.priority:
                return None
        return self._queue.remove(newest.request_id) if newest is not None else None

    def _start_next(self, now: float) -> list[AdmissionDecision]:
        decisions: list[AdmissionDecision] = []
        while len(self._running) < self._limit.value:
            waiting = self._queue.pop(lambda first: self._may_start(first, now))
            if waiting is None:
                break
            request_id = waiting.request_id
            self._throughput.add_started_cost(waiting.work)
            arrived = self._arrived.pop(request_id)
            self._running[request_id] = _Running(waiting, arrived, now)
            decisions.append(Start(request_id))
        return decisions

    def _may_start(self, waiting: QueuedRequest, now: float) -> bool:
        limit = self._limit.value
        if len(self._running) < self._heavy_hitters.compute_heavy_hitter_slots(limit):
            return True
        return not self._heavy_hitters.is_heavy_hitter(now, waiting.workspace, limit)

    def _note_first(self, event: FirstTokenReceived) -> None:
        running = self._running.get(event.request_id)
        if running is None or running.first is not None:
            return
        running.first = event.now
        if event.prefill_tokens > 0:
            self._measure_prefill(running, event.prefill_tokens)

    def _measure_prefill(self, running: _Running, prefill_tokens: int) -> None:
        if running.first is None:
            return
        seconds = running.first - running.started
        # Prompts that are prefilled together share the engine's speed.
        ratio = self._cost_estimator.compare_first_token(prefill_tokens, seconds) / len(self._running)
        self._limit.record_first_token(ratio)
        prompt_tokens = running.work_arrived.prompt_tokens
        self._cost_estimator.record_first_token(prompt_tokens, prefill_tokens, seconds)

    def _end(self, event: RequestFinished) -> list[AdmissionDecision]:
        running = self._running.get(event.request_id)
        if running is None:
            return []
        if event.prefill_tokens > 0:
            self._measure_prefill(running, event.prefill_tokens)
        del self._running[event.request_id]
        seconds = event.now - running.started
        self._queue.charge(
            running.work.workspace, (seconds - running.work.work) / running.work.weight
        )
        if event.succeeded:
            self._learn(event, running, seconds)
        elif not event.cancelled:
            self._limit.record_failure()
        return self._start_next(event.now)

    def _learn(self, event: RequestFinished, running: _Running, seconds: float) -> None:
        decode = event.now - (running.first or running.started)
        arrived = running.work_arrived
        tokens = event.output_tokens
        self._cost_estimator.record_success(seconds, decode, tokens, arrived.max_tokens)
        pace = 0.0
        if tokens >= MIN_DECODE_SAMPLE_TOKENS:
            pace = decode / tokens
        elif arrived.max_tokens == 0:
            pace = seconds
        in_use = len(self._running) + 1
        if len(self._queue) > 0:
            # Those far above their share wait although slots are free.
            in_use = max(in_use, self._limit.value)
        self._limit.record_success(in_use, pace)

    def _stop(self, now: float) -> list[AdmissionDecision]:
        self._stopping = True
        waiting = self._queue.list_all()
        for entry in waiting:
            self._queue.remove(entry.request_id)
        self._arrived.clear()
        return [self._reject(entry, now, RejectReason.STOPPING) for entry in waiting]

    def _tick(self, now: float) -> list[AdmissionDecision]:
        # Slots that are kept free say nothing of how fast the target works.
        full = len(self._running) >= self._limit.value
        standing = full and len(self._queue) > 0
        self._throughput.tick(now, standing, self._limit.value)
        late = self._queue.remove_expired(now)
        late += self._take_hopeless(now)
        for entry in late:
            self._arrived.pop(entry.request_id)
        return [self._reject(entry, now, RejectReason.DEADLINE) for entry in late]

    def _take_hopeless(self, now: float) -> list[QueuedRequest]:
        """Take out the newest of the longest lines that will not be reached in time.

        The queue may drain more slowly than it seemed on their arrival; without this
        they would wait until their deadline is past before they are refused.
        """
        hopeless: list[QueuedRequest] = []
        while len(self._queue) > 0:
            longest = self._queue.find_largest_backlog()
            if longest is None:
                break
            newest = self._queue.find_newest(longest[0])
            start = now + WAIT_MARGIN * self._estimate_start(self._queue.work)
            if newest is None or start <= newest.latest_start:
                break
            self._queue.remove(newest.request_id)
            hopeless.append(newest)
        return hopeless

    def _estimate_wait(self, waiting: QueuedRequest) -> float:
        """Return the expected seconds until a newly arrived request starts."""
        if self._is_free(waiting):
            return 0.0
        workspace, weight = waiting.workspace, waiting.weight
        return self._estimate_start(self._queue.estimate_cost_ahead(workspace, weight))

    def _is_free(self, waiting: QueuedRequest) -> bool:
        """Say whether a slot is free for the workspace: others that wait are held."""
        if len(self._running) >= self._limit.value:
            return False
        return self._may_start(waiting, waiting.arrival)

    def _estimate_start(self, ahead: float) -> float:
        """Return the expected seconds until work behind ``ahead`` seconds starts."""
        # One slot falls free after a service time over their number on average.
        over = len(self._running) - self._limit.value
        taken = max(0, 1 + over) * self._cost_estimator.service_seconds
        return (ahead + taken) / max(1, self._limit.value) / self._throughput.value

    def _reject(self, waiting: QueuedRequest, now: float, reason: RejectReason) -> Reject:
        if reason is RejectReason.STOPPING:
            return Reject(waiting.request_id, reason, 0.0)
        workspace, weight = waiting.workspace, waiting.weight
        delay = self._estimate_start(self._queue.estimate_cost_ahead(workspace, weight))
        share = self._queue.compute_share(workspace, weight)
        step = waiting.work / share / max(1, self._limit.value)
        wait = self._retry_schedule.reserve(now, workspace, delay, step)
        return Reject(waiting.request_id, reason, wait)
