"""The gateway's decisions: which target, another attempt, or a truthful refusal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .choice import choose_target
from .messages import (
    AttemptEnded,
    Deliver,
    FleetChanged,
    Ran,
    Refuse,
    RefuseReason,
    RequestArrived,
    RoutingDecision,
    RoutingEvent,
    Send,
    SendReason,
    TargetReported,
)
from .retry_budget import RetryBudget
from .target_state import TargetState

if TYPE_CHECKING:
    import random

MAX_ATTEMPTS = 3
# A request that broke a target may be what broke it: one more target is risked, no
# third. Without it such a request takes out MAX_ATTEMPTS targets each time it is sent.
MAX_BROKEN = 2
# Retry-After when no target can say how long its queue is.
DEFAULT_RETRY_AFTER = 2.0


class _Pending:
    """A request between its arrival and its final answer."""

    __slots__ = ("attempts", "broken", "ran", "request", "shortest_wait", "tried")

    def __init__(self, request: RequestArrived) -> None:
        self.request = request
        self.attempts = 0
        # Targets that broke with the request under way.
        self.broken = 0
        # Unknown once any attempt's outcome was.
        self.ran = Ran.NO
        self.tried: set[str] = set()
        # Least retry_after among the targets that refused.
        self.shortest_wait = 0.0


class Router:
    """Turns events into decisions; one instance serves one gateway."""

    def __init__(self, random: random.Random) -> None:
        self._random = random
        self._targets: dict[str, TargetState] = {}
        self._by_service: dict[str, list[TargetState]] = {}
        self._pending: dict[str, _Pending] = {}
        self._budget = RetryBudget()

    @property
    def pending(self) -> int:
        """Return the number of requests without a final answer."""
        return len(self._pending)

    def handle(self, event: RoutingEvent) -> RoutingDecision | None:
        """Take one event; return the decision it calls for, if any."""
        match event:
            case RequestArrived():
                return self._start(event)
            case AttemptEnded():
                return self._end(event)
            case TargetReported():
                state = self._targets.get(event.target)
                if state is not None:
                    state.report(event.load)
            case FleetChanged():
                self._change_fleet(event)
        return None

    def abandon(self, request_id: str) -> None:
        """Forget a request whose caller has left."""
        self._pending.pop(request_id, None)

    def _start(self, request: RequestArrived) -> RoutingDecision:
        pending = _Pending(request)
        self._pending[request.request_id] = pending
        return self._send(pending, request.now, Ran.NO)

    def _send(self, pending: _Pending, now: float, ran: Ran) -> RoutingDecision:
        request = pending.request
        if now >= request.deadline:
            return self._refuse(pending, RefuseReason.DEADLINE, ran)
        states = self._by_service.get(request.service, [])
        usable = [
            state
            for state in states
            if state.view.target not in pending.tried and state.is_usable(now)
        ]
        choice = choose_target(
            usable,
            request.block_keys,
            request.prompt_tokens,
            request.block_tokens,
            self._random,
        )
        if choice is None:
            if pending.tried:
                return self._refuse(pending, RefuseReason.OVERLOADED, ran)
            return self._refuse(pending, RefuseReason.NO_TARGET, ran)
        pending.attempts += 1
        target = choice.state.view.target
        pending.tried.add(target)
        choice.state.add_sent(request.prompt_tokens)
        reason = choice.reason if pending.attempts == 1 else SendReason.RETRY
        return Send(request.request_id, target, reason, choice.candidates)

    def _end(self, event: AttemptEnded) -> RoutingDecision | None:
        pending = self._pending.get(event.request_id)
        state = self._targets.get(event.target)
        if state is not None:
            if event.broken:
                state.add_break(event.now)
            elif event.ran is Ran.YES:
                state.add_answer()
        if pending is None:
            return None
        if event.ran is Ran.YES or event.delivered:
            self._budget.add_success()
            del self._pending[event.request_id]
            return Deliver(event.request_id)
        if event.ran is Ran.UNKNOWN and not pending.request.idempotent:
            # Another attempt could run it twice; the caller is told the truth.
            return self._refuse(pending, RefuseReason.TARGET_FAILED, Ran.UNKNOWN)
        return self._retry(pending, event)

    def _retry(self, pending: _Pending, event: AttemptEnded) -> RoutingDecision:
        # A request that may be repeated and whose outcome is unknown stays unknown
        # even when the next target refuses it.
        if event.retry_after > 0:
            waits = (pending.shortest_wait or event.retry_after, event.retry_after)
            pending.shortest_wait = min(waits)
        if event.ran is Ran.UNKNOWN:
            pending.ran = Ran.UNKNOWN
            pending.broken += event.broken
        ran = pending.ran
        if pending.broken >= MAX_BROKEN:
            return self._refuse(pending, RefuseReason.TARGET_FAILED, ran)
        if pending.attempts >= MAX_ATTEMPTS:
            return self._refuse(pending, RefuseReason.ATTEMPTS, ran)
        if not self._budget.take():
            return self._refuse(pending, RefuseReason.RETRY_BUDGET, ran)
        return self._send(pending, event.now, ran)

    def _refuse(self, pending: _Pending, reason: RefuseReason, ran: Ran) -> Refuse:
        request_id = pending.request.request_id
        del self._pending[request_id]
        wait = pending.shortest_wait or DEFAULT_RETRY_AFTER
        return Refuse(request_id, reason, ran, wait)

    def _change_fleet(self, event: FleetChanged) -> None:
        kept: dict[str, TargetState] = {}
        by_service: dict[str, list[TargetState]] = {}
        for view in event.targets:
            state = self._targets.get(view.target)
            if state is None:
                state = TargetState(view)
            state.view = view
            kept[view.target] = state
            by_service.setdefault(view.service, []).append(state)
        self._targets = kept
        self._by_service = by_service
