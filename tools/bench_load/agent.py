"""A simulated agent: admits requests to its engine, and streams their responses."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Protocol

from bamboopier_decisions.admission.messages import (
    AdmissionRequested,
    FirstTokenReceived,
    Reject,
    RequestCancelled,
    RequestFinished,
    Start,
    StopRequested,
    TargetRestarted,
    Tick,
)
from bamboopier_decisions.routing.messages import (
    AttemptEnded,
    ExecutionStatus,
    TargetLoad,
)

from .engine import SimulatedEngine

if TYPE_CHECKING:
    from collections.abc import Callable

    from bamboopier_decisions.admission.messages import AdmissionEvent

    from .clock import SimulatedClock
    from .engine import EngineShape
    from .orders import Order
    from .policy import AdmissionInterface

# Seconds that a message between a gateway and an agent takes.
HOP_SECONDS = 0.001
TICK_SECONDS = 0.1


@dataclass(slots=True)
class Attempt:
    """One attempt to serve an order at an agent; times are in seconds."""

    order: Order
    attempt_id: str
    target: str
    sent_at: float
    max_wait: float
    first_byte: float = 0.0


class AttemptObserver(Protocol):
    """What learns how attempts at agents go on."""

    def report_first_byte(self, agent: SimulatedAgent, attempt: Attempt) -> None:
        """Handle the first token of an attempt."""
        ...

    def end_attempt(
        self, attempt: Attempt, ended: AttemptEnded, load: TargetLoad
    ) -> None:
        """Handle the end of an attempt, with the agent's load at that time."""
        ...

    def abandon(self, order_id: str) -> None:
        """Handle a request whose caller disconnected at its deadline."""
        ...


class SimulatedAgent:
    """An agent, through which all requests to its engine pass."""

    def __init__(
        self,
        name: str,
        clock: SimulatedClock,
        shape: EngineShape,
        make_admission: Callable[[], AdmissionInterface],
        observer: AttemptObserver,
        *,
        cold: bool,
    ) -> None:
        self.name = name
        self._clock = clock
        self._make_admission = make_admission
        self._observer = observer
        self.engine = SimulatedEngine(clock, shape, cold)
        self.engine.on_restart = partial(self._handle_restart)
        self.admission = make_admission()
        self.stopped = False
        self._attempts: dict[str, Attempt] = {}
        self._tick()

    def report(self) -> TargetLoad:
        """Return the load report that is attached to responses."""
        admission = self.admission
        return TargetLoad(
            running=admission.running,
            waiting=admission.waiting,
            limit=admission.limit,
            prefill_rate=admission.prefill_rate,
            queue_delay=admission.estimate_delay(),
            accepting=admission.accepting and self.engine.up,
            start_id=str(self.engine.starts),
        )

    def restart_agent(self) -> None:
        """Restart the agent process: its streams fail and its state is lost."""
        for attempt_id in list(self._attempts):
            self.engine.cancel(attempt_id)
            self._fail(attempt_id)
        self.admission = self._make_admission()

    def stop(self) -> None:
        """Stop admission: waiting requests are rejected, running ones continue."""
        self.stopped = True
        self.handle_event(StopRequested(self._clock.now))

    def restart_cold(self) -> None:
        """Restart as on a new VM, with a new agent process and a cold engine."""
        self.stopped = False
        self.engine.reset_warmup()
        self.engine.starts += 1
        self.admission = self._make_admission()

    def serve(self, attempt: Attempt) -> None:
        """Request admission for an attempt from a gateway."""
        order = attempt.order
        self._attempts[attempt.attempt_id] = attempt
        if not self.engine.up:
            self._fail(attempt.attempt_id, ExecutionStatus.NOT_EXECUTED)
            return
        work = AdmissionRequested(
            now=self._clock.now,
            request_id=attempt.attempt_id,
            workspace=order.workspace,
            weight=1.0,
            priority=order.priority,
            deadline=order.deadline,
            prompt_tokens=order.prompt_tokens,
            max_tokens=order.max_tokens,
            max_wait=attempt.max_wait,
        )
        self.handle_event(work)
        if order.deadline > self._clock.now:
            self._clock.call_at(
                order.deadline, lambda: self._cancel(attempt.attempt_id)
            )

    def handle_event(self, event: AdmissionEvent) -> None:
        """Pass an event to the admission decisions and execute the result."""
        for decision in self.admission.handle(event):
            if isinstance(decision, Start):
                self._start(decision.request_id)
            else:
                self._reject(decision)

    def _start(self, attempt_id: str) -> None:
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            self.handle_event(
                RequestFinished(self._clock.now, attempt_id, False, cancelled=True)
            )
            return
        if not self.engine.up:
            self._fail(attempt_id, ExecutionStatus.NOT_EXECUTED)
            return
        self.engine.run(
            attempt_id,
            attempt.order,
            lambda uncached_tokens: self._handle_first_token(
                attempt_id, uncached_tokens
            ),
            lambda: self._finish(attempt_id),
            lambda: self._fail(attempt_id),
        )

    def _handle_first_token(self, attempt_id: str, uncached_tokens: int) -> None:
        attempt = self._attempts[attempt_id]
        attempt.first_byte = self._clock.now - attempt.sent_at
        attempt.order.first_token = self._clock.now + HOP_SECONDS
        self.handle_event(
            FirstTokenReceived(self._clock.now, attempt_id, uncached_tokens)
        )
        self._observer.report_first_byte(self, attempt)

    def _finish(self, attempt_id: str) -> None:
        attempt = self._attempts.pop(attempt_id)
        tokens = attempt.order.output_tokens
        self.handle_event(RequestFinished(self._clock.now, attempt_id, True, tokens))
        self._respond(attempt, ExecutionStatus.EXECUTED)

    def _fail(
        self, attempt_id: str, ran: ExecutionStatus = ExecutionStatus.UNKNOWN
    ) -> None:
        attempt = self._attempts.pop(attempt_id)
        self.handle_event(RequestCancelled(self._clock.now, attempt_id))
        self.handle_event(RequestFinished(self._clock.now, attempt_id, succeeded=False))
        self._respond(attempt, ran, broken=True)

    def _reject(self, reject: Reject) -> None:
        attempt = self._attempts.pop(reject.request_id, None)
        if attempt is not None:
            self._respond(attempt, ExecutionStatus.NOT_EXECUTED, reject.retry_after)

    def _cancel(self, attempt_id: str) -> None:
        """Cancel an attempt whose caller disconnected at its deadline."""
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            return
        order_id = str(attempt.order.order_id)
        self.engine.cancel(attempt_id)
        self.handle_event(RequestCancelled(self._clock.now, attempt_id))
        self.handle_event(
            RequestFinished(self._clock.now, attempt_id, False, cancelled=True)
        )
        self._observer.abandon(order_id)

    def _respond(
        self,
        attempt: Attempt,
        ran: ExecutionStatus,
        wait: float = 0.0,
        broken: bool = False,
    ) -> None:
        ended = AttemptEnded(
            now=self._clock.now + HOP_SECONDS,
            request_id=str(attempt.order.order_id),
            target=self.name,
            ran=ran,
            retry_after=wait,
            broken=broken,
            delivered=attempt.first_byte > 0
            and ran is not ExecutionStatus.NOT_EXECUTED,
            first_byte=attempt.first_byte,
        )
        load = self.report()
        self._clock.call_later(
            HOP_SECONDS, lambda: self._observer.end_attempt(attempt, ended, load)
        )

    def _handle_restart(self) -> None:
        self.handle_event(TargetRestarted(self._clock.now))

    def _tick(self) -> None:
        self.handle_event(Tick(self._clock.now))
        self._clock.call_later(TICK_SECONDS, self._tick)
