"""Routes a gateway's requests: chooses targets, retries attempts and refuses requests.

A refusal never reports "not run" for a request that may have been executed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .hash_ring import compute_points
from .messages import (
    AttemptEnded,
    Deliver,
    ExcludedTarget,
    ExecutionStatus,
    FirstByteReceived,
    FleetChanged,
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
from .service_targets import ServiceTargets
from .target_choice import choose_target, compute_affinity_key, find_exclusion_reason
from .target_state import TargetState
from .wait_bound import bound_wait
from .warm_prefixes import WarmPrefixes

if TYPE_CHECKING:
    import random

MAX_ATTEMPTS = 3
# A request may itself be the cause of a crash, so it is sent to one more target, not to
# a third. Without this limit it crashes MAX_ATTEMPTS targets each time it is sent.
MAX_CRASHED_TARGETS = 2
# Attempts in total, including those rejected by a target that is leaving.
MAX_TARGETS_TRIED = 8
# Seconds for Retry-After if no target has reported a time.
DEFAULT_RETRY_AFTER = 2.0
# A target's retry time is stretched randomly by up to this factor for other requests of
# the workspace, so that they do not retry together.
MAX_RETRY_AFTER_FACTOR = 2.0
# Ramp start of the targets in the first fleet: they are not new, the gateway is.
LONG_AGO = float("-inf")
# Targets for which a refusal lists the exclusion reason.
MAX_EXCLUDED_LISTED = 8

_NO_TARGETS = ServiceTargets((), ())


class _PendingRequest:
    """A request between its arrival and its final response."""

    __slots__ = (
        "attempts",
        "crashed_targets",
        "may_have_run",
        "min_retry_after",
        "request",
        "tried",
    )

    def __init__(self, request: RequestArrived) -> None:
        self.request = request
        self.attempts = 0
        # Targets that crashed with the request in flight.
        self.crashed_targets = 0
        self.tried: set[str] = set()
        # The outcome of an earlier attempt is unknown, so "not run" could be false.
        self.may_have_run = False
        # Least retry_after of the targets that rejected the request; 0 if none did.
        self.min_retry_after = 0.0


class Router:
    """Turns events into decisions; one instance serves one gateway."""

    def __init__(self, random: random.Random) -> None:
        self._random = random
        self._targets: dict[str, TargetState] = {}
        self._services: dict[str, ServiceTargets] = {}
        # Hash ring points by target.
        self._points: dict[str, tuple[int, ...]] = {}
        self._warm_prefixes = WarmPrefixes()
        self._pending: dict[str, _PendingRequest] = {}
        self._budget = RetryBudget()

    @property
    def pending(self) -> int:
        """Return the number of requests without a final response."""
        return len(self._pending)

    def handle(self, event: RoutingEvent) -> RoutingDecision | None:
        """Apply an event; return the resulting decision, if any."""
        match event:
            case RequestArrived():
                return self._start(event)
            case AttemptEnded():
                return self._handle_attempt_end(event)
            case TargetReported():
                state = self._targets.get(event.target)
                if state is not None:
                    state.update_load(event.now, event.load)
            case FirstByteReceived():
                self._record_first_byte(event)
            case FleetChanged():
                self._update_fleet(event)
        return None

    def abandon(self, request_id: str) -> None:
        """Discard a request whose caller has disconnected."""
        self._pending.pop(request_id, None)

    def _start(self, request: RequestArrived) -> RoutingDecision:
        pending = _PendingRequest(request)
        self._pending[request.request_id] = pending
        return self._send(pending, request.now)

    def _send(self, pending: _PendingRequest, now: float) -> RoutingDecision:
        request = pending.request
        if now >= request.deadline:
            return self._refuse(pending, RefuseReason.DEADLINE)
        targets = self._services.get(request.service, _NO_TARGETS)
        choice = choose_target(
            now, targets, request, pending.tried, self._warm_prefixes, self._random
        )
        if choice is None:
            return self._refuse_unroutable(pending, now, targets)
        pending.attempts += 1
        first = not pending.tried
        state = choice.state
        pending.tried.add(state.view.target)
        # A probe is rejected or queued behind its own workspace: it delays no other.
        if not state.backoff.record_probe(now, request.backoff_key):
            state.record_sent(now, request.prompt_tokens)
        state.outlier_detector.record_probe(now)
        reason = choice.reason if first else SendReason.RETRY
        max_wait = bound_wait(
            len(pending.tried), choice.saved_seconds, is_last=choice.is_last
        )
        return Send(
            request.request_id,
            state.view.target,
            reason,
            choice.candidates,
            max_wait,
        )

    def _refuse_unroutable(
        self, pending: _PendingRequest, now: float, targets: ServiceTargets
    ) -> Refuse:
        wait = targets.find_wait(now, pending.request.backoff_key)
        if wait > 0 and not pending.min_retry_after:
            pending.min_retry_after = wait * self._random.uniform(
                1, MAX_RETRY_AFTER_FACTOR
            )
        overloaded = pending.tried or wait > 0
        reason = RefuseReason.OVERLOADED if overloaded else RefuseReason.NO_TARGET
        return self._refuse(pending, reason, _list_excluded(now, pending, targets))

    def _record_first_byte(self, event: FirstByteReceived) -> None:
        pending = self._pending.get(event.request_id)
        state = self._targets.get(event.target)
        if pending is None or state is None:
            return
        request = pending.request
        key = compute_affinity_key(request.block_keys)
        if key:
            self._warm_prefixes.add(key, event.target)
        targets = self._services.get(request.service)
        # A rejected workspace waits for its own share, however fast the target is.
        if targets is not None and not state.backoff.is_backing_off(
            request.backoff_key
        ):
            targets.record_first_byte(
                event.now, state, event.seconds, request.prompt_tokens
            )

    def _handle_attempt_end(self, event: AttemptEnded) -> RoutingDecision | None:
        pending = self._pending.get(event.request_id)
        state = self._targets.get(event.target)
        if state is not None:
            if event.broken:
                state.record_crash(event.now)
            elif event.ran is ExecutionStatus.EXECUTED:
                state.record_success()
        if pending is None:
            return None
        key = pending.request.backoff_key
        if state is not None and event.retry_after > 0:
            state.backoff.record_rejection(event.now, key, event.retry_after)
        elif state is not None and event.ran is ExecutionStatus.EXECUTED:
            state.backoff.remove(key)
        if event.ran is ExecutionStatus.EXECUTED or event.delivered:
            self._budget.record_success()
            del self._pending[event.request_id]
            return Deliver(event.request_id)
        if event.ran is ExecutionStatus.UNKNOWN and not pending.request.idempotent:
            # Another attempt could execute it twice: report the unknown outcome.
            pending.may_have_run = True
            return self._refuse(pending, RefuseReason.TARGET_FAILED)
        return self._retry(pending, event)

    def _retry(self, pending: _PendingRequest, event: AttemptEnded) -> RoutingDecision:
        if event.ran is ExecutionStatus.UNKNOWN:
            pending.may_have_run = True
            pending.crashed_targets += event.broken
        if event.retry_after > 0:
            waits = (pending.min_retry_after or event.retry_after, event.retry_after)
            pending.min_retry_after = min(waits)
        if pending.crashed_targets >= MAX_CRASHED_TARGETS:
            return self._refuse(pending, RefuseReason.TARGET_FAILED)
        if (
            event.ran is ExecutionStatus.NOT_EXECUTED
            and not event.broken
            and event.retry_after <= 0
        ):
            # A target that is leaving, drained or busier than the wait bound allows has
            # rejected the request before it could run. That is no overload, and it
            # happens to whole data centres at once: if such attempts used up the
            # budget, most of the requests queued there would be refused.
            pending.attempts -= 1
        elif pending.attempts >= MAX_ATTEMPTS:
            return self._refuse(pending, RefuseReason.ATTEMPTS)
        elif not self._budget.try_spend():
            return self._refuse(pending, RefuseReason.RETRY_BUDGET)
        if len(pending.tried) >= MAX_TARGETS_TRIED:
            return self._refuse(pending, RefuseReason.ATTEMPTS)
        return self._send(pending, event.now)

    def _refuse(
        self,
        pending: _PendingRequest,
        reason: RefuseReason,
        excluded: tuple[ExcludedTarget, ...] = (),
    ) -> Refuse:
        request_id = pending.request.request_id
        del self._pending[request_id]
        wait = pending.min_retry_after or DEFAULT_RETRY_AFTER
        ran = (
            ExecutionStatus.UNKNOWN
            if pending.may_have_run
            else ExecutionStatus.NOT_EXECUTED
        )
        return Refuse(request_id, reason, ran, wait, excluded)

    def _update_fleet(self, event: FleetChanged) -> None:
        ramp_start = event.now if self._targets else LONG_AGO
        states_by_target: dict[str, TargetState] = {}
        by_service: dict[str, list[TargetState]] = {}
        for view in event.targets:
            state = self._targets.get(view.target)
            if state is None:
                state = TargetState(view, ramp_start)
            state.view = view
            states_by_target[view.target] = state
            by_service.setdefault(view.service, []).append(state)
        names = states_by_target.keys()
        self._points = {n: self._points.get(n) or compute_points(n) for n in names}
        self._targets = states_by_target
        self._services = {
            service: ServiceTargets(
                states, [self._points[state.view.target] for state in states]
            )
            for service, states in by_service.items()
        }


def _list_excluded(
    now: float, pending: _PendingRequest, targets: ServiceTargets
) -> tuple[ExcludedTarget, ...]:
    """Return the exclusion reasons of the first targets for a refused request."""
    listed = []
    for state in targets.list_first()[:MAX_EXCLUDED_LISTED]:
        reason = find_exclusion_reason(now, state, pending.request, pending.tried)
        if reason is not None:
            listed.append(ExcludedTarget(state.view.target, reason))
    return tuple(listed)
