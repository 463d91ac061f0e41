"""Simulates callers and gateways around the decisions in simulated time."""

from __future__ import annotations

import hashlib
from functools import partial
from random import Random
from typing import TYPE_CHECKING

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

from .agent import HOP_SECONDS, Attempt, SimulatedAgent
from .clock import SimulatedClock
from .engine import EngineShape
from .orders import Behaviour, Order

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bamboopier_decisions.routing.messages import RoutingDecision

    from .policy import AdmissionInterface, Policy, RouterInterface

# An eager caller retries after this delay, up to this number of times.
EAGER_RETRY_SECONDS = 0.1
EAGER_MAX_RETRIES = 20
# Callers retry after this delay if a response broke off or a refusal has no retry time.
PLAIN_RETRY_SECONDS = 1.0
SERVICE = "chat"
BLOCK_TOKENS = 100


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
        self.agents = {
            name: SimulatedAgent(
                name, self.clock, self.shape, self._make_admission, self, cold=cold
            )
            for name in names
        }
        self._routers_by_order: dict[str, RouterInterface] = {}
        self.update_fleet(names)

    def _make_admission(self) -> AdmissionInterface:
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

    def report_first_byte(self, agent: SimulatedAgent, attempt: Attempt) -> None:
        """Report the first byte and the load in the response head to the gateway."""
        router = self._routers_by_order[str(attempt.order.order_id)]
        now, request_id = self.clock.now, str(attempt.order.order_id)
        router.handle(TargetReported(now, agent.name, agent.report()))
        router.handle(
            FirstByteReceived(now, request_id, agent.name, attempt.first_byte)
        )

    def end_attempt(
        self, attempt: Attempt, ended: AttemptEnded, load: TargetLoad
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
            attempt = Attempt(
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
