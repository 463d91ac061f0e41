"""Baseline policies: two simple routers and an unbounded queue at each target."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from bamboopier_decisions.admission.messages import (
    AdmissionRequested,
    RequestCancelled,
    RequestFinished,
    Start,
)
from bamboopier_decisions.routing.messages import (
    AttemptEnded,
    Deliver,
    ExecutionStatus,
    FleetChanged,
    Refuse,
    RefuseReason,
    RequestArrived,
    Send,
    SendReason,
)

if TYPE_CHECKING:
    from random import Random

    from bamboopier_decisions.admission.messages import (
        AdmissionDecision,
        AdmissionEvent,
    )
    from bamboopier_decisions.routing.messages import RoutingDecision, RoutingEvent


class UnboundedFifo:
    """Runs up to ``limit`` requests at once and queues all others in arrival order."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.prefill_rate = 0.0
        self.accepting = True
        self._queue: deque[str] = deque()
        self._running: set[str] = set()

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def estimate_delay(self) -> float:
        """Return 0: this baseline does not estimate the queue delay."""
        return 0.0

    def handle(self, event: AdmissionEvent) -> list[AdmissionDecision]:
        """Apply an event and start waiting requests while there are free slots."""
        if isinstance(event, AdmissionRequested):
            self._queue.append(event.request_id)
        elif isinstance(event, RequestFinished):
            self._running.discard(event.request_id)
        elif isinstance(event, RequestCancelled) and event.request_id in self._queue:
            self._queue.remove(event.request_id)
        decisions: list[AdmissionDecision] = []
        while self._queue and len(self._running) < self.limit:
            request_id = self._queue.popleft()
            self._running.add(request_id)
            decisions.append(Start(request_id))
        return decisions


class PlainRouter:
    """Routes round robin or to the target with the fewest open requests.

    Only the requests of this gateway are counted.
    """

    def __init__(self, random: Random, least_loaded: bool) -> None:
        self._random = random
        self._least_loaded = least_loaded
        self._open: dict[str, int] = {}
        self._next = 0

    def handle(self, event: RoutingEvent) -> RoutingDecision | None:
        """Send each request once; a failed attempt is not retried."""
        if isinstance(event, FleetChanged):
            self._open = {v.target: self._open.get(v.target, 0) for v in event.targets}
        elif isinstance(event, RequestArrived):
            target = self._choose()
            self._open[target] += 1
            return Send(event.request_id, target, SendReason.LEAST_DELAY, ())
        elif isinstance(event, AttemptEnded):
            if event.target in self._open:
                self._open[event.target] -= 1
            if event.ran is ExecutionStatus.EXECUTED or event.delivered:
                return Deliver(event.request_id)
            reason = RefuseReason.TARGET_FAILED
            return Refuse(event.request_id, reason, event.ran, 1.0)
        return None

    def abandon(self, request_id: str) -> None:
        """Do nothing: this baseline holds no state per request."""

    def _choose(self) -> str:
        names = list(self._open)
        if self._least_loaded:
            least = min(self._open.values())
            return self._random.choice([n for n in names if self._open[n] == least])
        self._next += 1
        return names[self._next % len(names)]
