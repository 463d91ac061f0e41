"""The agent's decisions: start, wait or reject, for one target.

Load pattern: more work than the target can carry. Without it the queue grows until
every answer is late, so that a full system does all the work and answers nobody in
time. Work that cannot meet its deadline is turned away when that is known, with the
time after which the queue will have drained.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .concurrency_limit import ConcurrencyLimit
from .fair_queue import FairQueue, Waiting
from .messages import (
    AdmissionDecision,
    AdmissionEvent,
    FirstToken,
    Reject,
    RejectReason,
    ResumeRequested,
    Start,
    StopRequested,
    TargetRestarted,
    Tick,
    WorkArrived,
    WorkEnded,
    WorkWithdrawn,
)

if TYPE_CHECKING:
    import random

# Assumed tokens a second until measured.
FIRST_PREFILL_RATE = 8000.0
FIRST_DECODE_RATE = 40.0
# Weight of a new measurement in the moving averages.
SMOOTHING = 0.1
# Answers are seldom as long as they may be; corrected by measurement.
FIRST_OUTPUT_SHARE = 0.5
# Those turned away return between this factor and its reverse of the drain time.
RETRY_SPREAD = 0.5
MIN_RETRY_AFTER = 0.25


class _Running:
    """A request the target has."""

    __slots__ = ("first", "started", "work")

    def __init__(self, work: Waiting, started: float) -> None:
        self.work = work
        self.started = started
        self.first: float | None = None


class Admission:
    """Admits work to one target; one instance per agent."""

    def __init__(
        self, max_running: int, max_waiting: int, random: random.Random
    ) -> None:
        self._max_waiting = max_waiting
        self._random = random
        self._limit = ConcurrencyLimit(max_running)
        self._queue = FairQueue()
        self._running: dict[str, _Running] = {}
        self._stopping = False
        self._prefill_rate = FIRST_PREFILL_RATE
        self._service_seconds = 0.0

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
        return self._prefill_rate

    @property
    def accepting(self) -> bool:
        """Say whether new work is taken at all."""
        return not self._stopping

    def estimate_delay(self) -> float:
        """Return the expected seconds until a new request would start."""
        free = self._limit.value - len(self._running)
        if free > len(self._queue):
            return 0.0
        ahead = self._queue.work + self._service_seconds
        return ahead / max(1, self._limit.value)

    def handle(self, event: AdmissionEvent) -> list[AdmissionDecision]:
        """Take one event; return the decisions it calls for, in order."""
        match event:
            case WorkArrived():
                return self._arrive(event)
            case FirstToken():
                self._measure_prefill(event)
                return []
            case WorkEnded():
                return self._end(event)
            case WorkWithdrawn():
                self._queue.remove(event.request_id)
                return []
            case TargetRestarted():
                self._limit.reset()
                return []
            case StopRequested():
                return self._stop()
            case ResumeRequested():
                self._stopping = False
                return []
            case Tick():
                return self._drop_late(event.now)

    def _arrive(self, event: WorkArrived) -> list[AdmissionDecision]:
        if self._stopping:
            return [Reject(event.request_id, RejectReason.STOPPING, 0.0)]
        work = event.prompt_tokens / self._prefill_rate
        work += event.max_tokens * FIRST_OUTPUT_SHARE / FIRST_DECODE_RATE
        waiting = Waiting(
            event.request_id,
            event.workspace,
            event.weight,
            event.priority,
            event.now,
            event.deadline,
            work,
        )
        if event.now + self.estimate_delay() > event.deadline:
            return [self._reject(event.request_id, RejectReason.DEADLINE)]
        if len(self._running) >= self.limit and len(self._queue) >= self._max_waiting:
            return [self._reject(event.request_id, RejectReason.QUEUE_FULL)]
        self._queue.push(waiting)
        return self._start_next(event.now)

    def _start_next(self, now: float) -> list[AdmissionDecision]:
        decisions: list[AdmissionDecision] = []
        while len(self._running) < self._limit.value:
            waiting = self._queue.pop()
            if waiting is None:
                break
            self._running[waiting.request_id] = _Running(waiting, now)
            decisions.append(Start(waiting.request_id))
        return decisions

    def _measure_prefill(self, event: FirstToken) -> None:
        running = self._running.get(event.request_id)
        if running is None or running.first is not None:
            return
        running.first = event.now
        seconds = event.now - running.started
        if seconds > 0 and event.new_tokens > 0:
            rate = event.new_tokens / seconds
            self._prefill_rate += SMOOTHING * (rate - self._prefill_rate)

    def _end(self, event: WorkEnded) -> list[AdmissionDecision]:
        running = self._running.pop(event.request_id, None)
        if running is None:
            return []
        if event.answered:
            self._limit.add_answer(len(self._running) + 1)
            seconds = event.now - running.started
            self._service_seconds += SMOOTHING * (seconds - self._service_seconds)
        else:
            self._limit.add_failure()
        return self._start_next(event.now)

    def _stop(self) -> list[AdmissionDecision]:
        self._stopping = True
        return [self._turn_away(w, RejectReason.STOPPING) for w in self._drain()]

    def _drain(self) -> list[Waiting]:
        waiting = self._queue.list_all()
        for entry in waiting:
            self._queue.remove(entry.request_id)
        return waiting

    def _drop_late(self, now: float) -> list[AdmissionDecision]:
        late = self._queue.find_late(now)
        for entry in late:
            self._queue.remove(entry.request_id)
        return [self._turn_away(entry, RejectReason.DEADLINE) for entry in late]

    def _turn_away(self, waiting: Waiting, reason: RejectReason) -> AdmissionDecision:
        return self._reject(waiting.request_id, reason)

    def _reject(self, request_id: str, reason: RejectReason) -> Reject:
        if reason is RejectReason.STOPPING:
            return Reject(request_id, reason, 0.0)
        drain = max(MIN_RETRY_AFTER, self.estimate_delay())
        spread = self._random.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
        return Reject(request_id, reason, drain * spread)
