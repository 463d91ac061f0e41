"""Chooses the target of a request, and waits for one to have room."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.placement import choose_target
from bamboopier_decisions.forwarding.wait_queue import (
    RETRY_AFTER_SHARE,
    draw_retry_after,
    find_max_wait,
)

from .refusals import CallerError, ErrorCode, ExecutionStatus

if TYPE_CHECKING:
    import random

    from bamboopier_decisions.forwarding.demand import Demand, Placement
    from bamboopier_decisions.forwarding.fleet import Fleet, InFlightRequest
    from bamboopier_decisions.forwarding.target_state import TargetState

    from .attempt_planner import AttemptPlanner
    from .messages import Call
    from .metrics import ProxyMetrics
    from .request_queues import RequestQueues
    from .target_loads import TargetLoads

# Requests per second below which a gateway's share of the targets' limits counts as
# none.
MIN_LIMIT_SHARE_PER_SECOND = 1e-6
# Number of times the loads of targets are asked for before a request waits.
MAX_ROUNDS = 3

log = structlog.get_logger()


class TargetSelector:
    """Selects targets, and lets requests wait while all of them are full."""

    def __init__(
        self,
        fleet: Fleet,
        planner: AttemptPlanner,
        request_queues: RequestQueues,
        target_loads: TargetLoads,
        metrics: ProxyMetrics,
        data_centre: str,
        random: random.Random,
    ) -> None:
        self._fleet = fleet
        self._planner = planner
        self._request_queues = request_queues
        self._target_loads = target_loads
        self._metrics = metrics
        self._data_centre = data_centre
        self._random = random

    async def acquire(self, call: Call) -> InFlightRequest:
        """Acquire a slot at a target; raises ``CallerError`` if there is none."""
        versions = self._planner.choose_versions(read_clock(), call)
        demand = self._planner.make_demand(read_clock(), call, versions.excluded)
        tried = set(call.tried)
        placement = await self._select_by_exact_loads(call, demand, tried)
        if placement.state is None and versions.may_fall_back:
            demand = self._planner.make_demand(read_clock(), call, versions.closed)
            placement = await self._select_by_exact_loads(call, demand, tried)
        if placement.state is not None:
            self._request_queues.record_sent(call.service, call.priority)
            return self._begin(read_clock(), call, placement.state)
        if placement.known == 0:
            raise self._refuse(call, ErrorCode.NO_TARGET, placement)
        started_at = read_clock()
        seconds = find_max_wait(
            call.route.latency_objective, call.timeout_at - started_at
        )
        spare = self._planner.find_spare_seconds(started_at, call, placement)
        self._check_limits(call, placement, started_at + seconds)
        if demand.exceeds_part or call.prompt is not None:
            self._check_queue(call, placement, min(seconds, spare))

        def try_acquire() -> InFlightRequest | None:
            return self._try_acquire(call, demand, tried)

        in_flight = await self._request_queues.wait(
            call.service,
            call.priority,
            seconds,
            try_acquire,
            self._fleet.end,
            workspace=call.workspace_name,
            spare_seconds=spare,
        )
        waited = read_clock() - started_at
        self._metrics.waited.labels(call.service).observe(waited)
        if in_flight is None:
            placement = self.select(call, demand, tried)
            raise self._refuse(call, ErrorCode.OVERLOADED, placement)
        return in_flight

    async def _select_by_exact_loads(
        self, call: Call, demand: Demand, tried: set[str]
    ) -> Placement:
        """Select a target after asking for the load of the best ones.

        If these turn out to be full, the next best are asked.
        """
        placement = self.select(call, demand, tried)
        for _ in range(MAX_ROUNDS):
            if not await self._target_loads.refresh(placement.best):
                return placement
            placement = self.select(call, demand, tried, prefer_exact=True)
            if placement.state is None or placement.state.is_load_exact(read_clock()):
                return placement
        return placement

    def _try_acquire(
        self, call: Call, demand: Demand, tried: set[str]
    ) -> InFlightRequest | None:
        """Acquire a slot for a waiting call; None as long as there is none.

        Without the exact load of the target found it is asked for: the answer wakes the
        calls that wait.
        """
        found = self.select(call, demand, tried, prefer_exact=True)
        if found.state is None:
            return None
        now = read_clock()
        if not found.state.is_load_exact(now) and self._target_loads.ask(found.best):
            return None
        return self._begin(now, call, found.state)

    def _begin(self, now: float, call: Call, state: TargetState) -> InFlightRequest:
        return self._fleet.begin(now, state, call.prompt)

    def _check_limits(self, call: Call, placement: Placement, latest: float) -> None:
        """Refuse a request whose turn at all its targets comes after ``latest``.

        All its targets rest or are rate-limited: each accepts as many requests per
        second as it reports, and the waiting requests ahead of this one are sent first.
        A request that was sent to all of them has no turn.
        """
        limited = placement.limited
        if not limited.covers_all:
            return
        before = self._request_queues.count_before(
            call.service, call.priority, call.workspace_name
        )
        turn = limited.next_at + before / max(
            limited.gateway_rate, MIN_LIMIT_SHARE_PER_SECOND
        )
        if turn > latest:
            raise self._refuse(call, ErrorCode.OVERLOADED, placement)

    def _check_queue(self, call: Call, placement: Placement, seconds: float) -> None:
        """Refuse a request at once whose turn comes after ``seconds``.

        It would be refused then, and its caller could have gone elsewhere.
        """
        capacity = self._fleet.find_own_capacity(read_clock(), call.service)
        expected = self._request_queues.estimate_wait(
            call.service, call.priority, call.workspace_name, capacity
        )
        if expected > seconds:
            raise self._refuse(call, ErrorCode.OVERLOADED, placement, expected)

    def select(
        self,
        call: Call,
        demand: Demand,
        tried: set[str],
        *,
        prefer_exact: bool = False,
    ) -> Placement:
        """Return the best target that the request was not sent to, if there is one."""
        now = read_clock()
        allowed_weights = self._planner.find_allowed_weights(now, call)
        return choose_target(
            now,
            self._fleet,
            demand,
            tried,
            allowed_weights,
            self._data_centre,
            self._random,
            prefer_exact=prefer_exact,
        )

    def _refuse(
        self,
        call: Call,
        code: ErrorCode,
        placement: Placement,
        expected_wait: float = 0.0,
    ) -> CallerError:
        now = read_clock()
        wait = 0.0
        if not call.may_have_run:
            wait = self.draw_retry_after(now, call, call.timeout_at, placement)
        log.info(
            "no target available",
            request_id=call.request_id,
            service=call.service,
            priority=call.priority,
            known=placement.known,
            usable=placement.usable,
            open=placement.open,
            limited=placement.limited.count,
            # What the limited targets accept from this gateway a second.
            gateway_rate=round(placement.limited.gateway_rate, 2),
            free_in=round(placement.limited.free_at - now, 3),
            waiting=self._request_queues.count(call.service),
            workspace=call.workspace_name,
            # Above 0 if it was refused without waiting, since its turn comes later.
            expected_wait=round(expected_wait, 3),
            waited=round(now - call.arrived, 3),
            # When its caller is told to return; 0 if it must not.
            retry_after=round(wait, 3),
            tried=call.tried,
        )
        if call.may_have_run:
            return CallerError(
                ErrorCode.OUTCOME_UNKNOWN, code.value, ExecutionStatus.UNKNOWN
            )
        return CallerError(
            code, "no target has room", ExecutionStatus.NOT_EXECUTED, wait
        )

    def draw_retry_after(
        self, now: float, call: Call, end: float, placement: Placement
    ) -> float:
        """Return the seconds after which a caller that leaves at ``end`` returns."""
        remaining = max(0.0, end - now)
        limited = placement.limited
        seconds = max(0.0, limited.free_at - now) if limited.covers_all else 0.0
        planned = self._plan_return(now, call, remaining * RETRY_AFTER_SHARE)
        return draw_retry_after(remaining, self._random, max(seconds, planned))

    def _plan_return(self, now: float, call: Call, max_seconds: float) -> float:
        """Return the seconds after which a caller that is sent away can be served.

        A workspace within its part of a plain service has no place behind the others:
        it was sent away for a moment only.
        """
        workspace = call.workspace_name
        is_known = self._fleet.find_capacity(now, call.service) > 0
        if is_known and not self._fleet.exceeds_part(now, call.service, workspace):
            return 0.0
        return self._request_queues.plan_return(
            call.service, call.priority, max_seconds, self._random
        )
