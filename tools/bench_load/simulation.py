"""Simulates callers, gateways and agents around the decisions in simulated time."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from functools import partial
from random import Random
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
    Distance,
    ExecutionStatus,
    FirstByteReceived,
    FleetChanged,
    Refuse,
    RequestArrived,
    Send,
    TargetLoad,
    TargetReported,
    TargetView,
)

from .clock import SimulatedClock
from .engine import EngineShape, SimulatedEngine
from .orders import Behaviour, Order

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from bamboopier_decisions.admission.messages import (
        AdmissionDecision,
        AdmissionEvent,
    )
    from bamboopier_decisions.routing.messages import RoutingDecision, RoutingEvent

HOP_SECONDS = 0.001
TICK_SECONDS = 0.1
# An eager caller retries after this delay, up to this number of times.
EAGER_RETRY_SECONDS = 0.1
EAGER_MAX_RETRIES = 20
# Callers retry after this delay if a response broke off or a refusal has no retry time.
PLAIN_RETRY_SECONDS = 1.0
SERVICE = "chat"
BLOCK_TOKENS = 100


class AdmissionInterface(Protocol):
    """Interface of an agent's admission decisions that the simulation uses."""

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        ...

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        ...

    @property
    def limit(self) -> int:
        """Return the maximum number of running requests."""
        ...

    @property
    def prefill_rate(self) -> float:
        """Return the prefill rate in prompt tokens per second; 0 if unknown."""
        ...

    @property
    def accepting(self) -> bool:
        """Return whether new requests are accepted."""
        ...

    def estimate_delay(self) -> float:
        """Return the expected seconds until a new request would start."""
        ...

    def handle(self, event: AdmissionEvent) -> list[AdmissionDecision]:
        """Apply one event and return the resulting decisions."""
        ...


class RouterInterface(Protocol):
    """Interface of a gateway's routing decisions that the simulation uses."""

    def handle(self, event: RoutingEvent) -> RoutingDecision | None:
        """Apply one event and return the resulting decision, if any."""
        ...

    def abandon(self, request_id: str) -> None:
        """Discard a request whose caller has disconnected."""
        ...


@dataclass(frozen=True, slots=True)
class Policy:
    """Factories of the admission and routing decisions of a run."""

    name: str
    make_admission: Callable[[Random], AdmissionInterface]
    make_router: Callable[[Random], RouterInterface]


@dataclass(slots=True)
class _Attempt:
    """One attempt to serve an order at an agent; times are in seconds."""

    order: Order
    attempt_id: str
    target: str
    sent_at: float
    max_wait: float
    first_byte: float = 0.0


class SimulatedAgent:
    """An agent, through which all requests to its engine pass."""

    def __init__(self, simulation: Simulation, name: str, cold: bool) -> None:
        self.name = name
        self._simulation = simulation
        self._clock = simulation.clock
        self.engine = SimulatedEngine(simulation.clock, simulation.shape, cold)
        self.engine.on_restart = partial(self._handle_restart)
        self.admission = simulation.make_admission()
        self.stopped = False
        self._attempts: dict[str, _Attempt] = {}
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
        self.admission = self._simulation.make_admission()

    def stop(self) -> None:
        """Stop admission: waiting requests are rejected, running ones continue."""
        self.stopped = True
        self.handle_event(StopRequested(self._clock.now))

    def restart_cold(self) -> None:
        """Restart as on a new VM, with a new agent process and a cold engine."""
        self.stopped = False
        self.engine.reset_warmup()
        self.engine.starts += 1
        self.admission = self._simulation.make_admission()

    def serve(self, attempt: _Attempt) -> None:
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
        self._simulation.report_first_byte(self, attempt)

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
        self._simulation.abandon(order_id)

    def _respond(
        self,
        attempt: _Attempt,
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
            HOP_SECONDS, lambda: self._simulation.end_attempt(attempt, ended, load)
        )

    def _handle_restart(self) -> None:
        self.handle_event(TargetRestarted(self._clock.now))

    def _tick(self) -> None:
        self.handle_event(Tick(self._clock.now))
        self._clock.call_later(TICK_SECONDS, self._tick)


class Simulation:
    """Gateways, agents and the orders of callers, driven by a simulated clock."""

    def __init__(
        self,
        policy: Policy,
        targets: int,
        gateways: int = 3,
        seed: int = 1,
        shape: EngineShape | None = None,
        cold: bool = False,
    ) -> None:
        self.clock = SimulatedClock()
        self.shape = shape or EngineShape()
        self.orders: list[Order] = []
        self._policy = policy
        self._random = Random(seed)
        self._routers = [
            policy.make_router(Random(self._random.random())) for _ in range(gateways)
        ]
        names = [f"t{number}" for number in range(targets)]
        self.agents = {name: SimulatedAgent(self, name, cold) for name in names}
        self._routers_by_order: dict[str, RouterInterface] = {}
        self.update_fleet(names)

    def make_admission(self) -> AdmissionInterface:
        """Return new admission decisions for an agent process."""
        return self._policy.make_admission(Random(self._random.random()))

    def abandon(self, order_id: str) -> None:
        """Report to the order's gateway that the caller disconnected."""
        self._routers_by_order[order_id].abandon(order_id)

    def update_fleet(self, names: Sequence[str]) -> None:
        """Send the list of usable targets to every gateway."""
        views = tuple(
            TargetView(name, SERVICE, Distance.SAME_DATA_CENTRE) for name in names
        )
        for router in self._routers:
            router.handle(FleetChanged(self.clock.now, views))

    def submit(self, orders: Sequence[Order]) -> None:
        """Schedule the orders at their arrival times."""
        for order in orders:
            self.orders.append(order)
            self.clock.call_at(order.arrival, partial(self._send_order, order))

    def run(self, until: float) -> None:
        """Run to second ``until``."""
        self.clock.run(until)

    def report_first_byte(self, agent: SimulatedAgent, attempt: _Attempt) -> None:
        """Report the first byte and the load in the response head to the gateway."""
        router = self._routers_by_order[str(attempt.order.order_id)]
        now, request_id = self.clock.now, str(attempt.order.order_id)
        router.handle(TargetReported(now, agent.name, agent.report()))
        router.handle(
            FirstByteReceived(now, request_id, agent.name, attempt.first_byte)
        )

    def end_attempt(
        self, attempt: _Attempt, ended: AttemptEnded, load: TargetLoad
    ) -> None:
        """Report an attempt's end to its gateway and execute the decision."""
        order = attempt.order
        router = self._routers_by_order[ended.request_id]
        router.handle(TargetReported(self.clock.now, ended.target, load))
        self._execute(order, router.handle(ended), ended.ran)

    def _send_order(self, order: Order) -> None:
        if self.clock.now >= order.deadline or order.in_time:
            return
        order.submissions += 1
        order.sent_at = self.clock.now
        order.first_token = 0.0
        router = self._random.choice(self._routers)
        request_id = str(order.order_id)
        self._routers_by_order[request_id] = router
        keys = tuple(
            hashlib.blake2b(f"{order.prefix}:{n}".encode(), digest_size=16).digest()
            for n in range(order.shared_tokens // BLOCK_TOKENS)
        )
        event = RequestArrived(
            now=self.clock.now,
            request_id=request_id,
            workspace=order.workspace,
            service=SERVICE,
            idempotent=order.idempotent,
            deadline=order.deadline,
            prompt_tokens=order.prompt_tokens,
            block_tokens=BLOCK_TOKENS,
            block_keys=keys,
            priority=order.priority,
        )
        self._execute(order, router.handle(event), ExecutionStatus.NOT_EXECUTED)

    def _execute(
        self, order: Order, decision: RoutingDecision | None, ran: ExecutionStatus
    ) -> None:
        if isinstance(decision, Send):
            order.targets.append(decision.target)
            sent_at = self.clock.now
            attempt = _Attempt(
                order, order.attempt_id, decision.target, sent_at, decision.max_wait
            )
            agent = self.agents[decision.target]
            self.clock.call_later(HOP_SECONDS, lambda: agent.serve(attempt))
        elif isinstance(decision, Refuse):
            self._handle_refusal(order, decision.retry_after)
        elif ran is ExecutionStatus.EXECUTED:
            order.finished = self.clock.now
        else:
            order.first_token = 0.0
            self.clock.call_later(PLAIN_RETRY_SECONDS, lambda: self._send_order(order))

    def _handle_refusal(self, order: Order, retry_after: float) -> None:
        order.refusals.append(self.clock.now - order.sent_at)
        order.refusals_without_retry_after += retry_after <= 0
        wait = retry_after or PLAIN_RETRY_SECONDS
        if order.behaviour is Behaviour.EAGER:
            wait = EAGER_RETRY_SECONDS
            if order.submissions > EAGER_MAX_RETRIES:
                return
        self.clock.call_later(wait, lambda: self._send_order(order))
