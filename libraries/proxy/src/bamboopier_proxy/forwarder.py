"""Runs the attempts of a call until the caller has its final response."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from result import Err, Ok

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.specs import RetrySafety

from .attempt_log import AttemptLog
from .attempt_result import AttemptResult, Cause
from .refusals import CallerError, ErrorCode, ExecutionStatus
from .target_outcomes import TargetOutcomes
from .target_selector import TargetSelector

if TYPE_CHECKING:
    import random

    from result import Result

    from bamboopier_decisions.forwarding.fleet import Fleet, InFlightRequest

    from .active_configuration import ActiveConfiguration
    from .attempt_planner import AttemptPlanner
    from .call_retries import CallRetries, RetryAccounts
    from .crash_monitor import CrashMonitor
    from .delivery import Delivery
    from .exchange import Exchange
    from .messages import AttemptMetadata, Call
    from .metrics import ProxyMetrics
    from .request_queues import RequestQueues
    from .rollouts.answer_log import AnswerLog
    from .stream_versions import StreamVersions
    from .target_loads import TargetLoads

# Attempts of one request, including those that a target rejected without running.
MAX_ATTEMPTS = 4

log = structlog.get_logger()


class Forwarder:
    """Runs attempts, and decides whether to retry."""

    def __init__(
        self,
        fleet: Fleet,
        active_configuration: ActiveConfiguration,
        planner: AttemptPlanner,
        exchange: Exchange,
        request_queues: RequestQueues,
        target_loads: TargetLoads,
        metrics: ProxyMetrics,
        crash_monitor: CrashMonitor,
        stream_versions: StreamVersions,
        retry_accounts: RetryAccounts,
        rollout_answers: AnswerLog,
        data_centre: str,
        random: random.Random,
    ) -> None:
        self._fleet = fleet
        self._active_configuration = active_configuration
        self._planner = planner
        self._exchange = exchange
        self._request_queues = request_queues
        self._attempt_log = AttemptLog(planner, active_configuration, metrics)
        self._selector = TargetSelector(
            fleet,
            planner,
            request_queues,
            target_loads,
            metrics,
            data_centre,
            random,
        )
        self._outcomes = TargetOutcomes(crash_monitor)
        self._rollout_answers = rollout_answers
        self._crash_monitor = crash_monitor
        self._stream_versions = stream_versions
        self._retry_accounts = retry_accounts

    async def forward(self, call: Call, delivery: Delivery) -> None:
        """Respond to the caller; raises ``CallerError`` for an error of this system."""
        self._check_quarantine(call)
        await self._stream_versions.bind(call)
        self._fleet.record_request(read_clock(), call.service, call.workspace_name)
        try:
            with self._retry_accounts.open(call) as retries:
                await self._run_attempts(call, delivery, retries)
        finally:
            self._rollout_answers.settle(call)

    async def _run_attempts(
        self, call: Call, delivery: Delivery, retries: CallRetries
    ) -> None:
        runs = 0
        while True:
            in_flight = await self._selector.acquire(call)
            call.tried.append(in_flight.state.entry.name)
            try:
                result = await self._send(call, in_flight, delivery, runs, retries)
                self._outcomes.record(call, in_flight, result)
            except BaseException:
                self._outcomes.record_abandoned(call, in_flight)
                self._attempt_log.record_abandoned(call, in_flight)
                raise
            finally:
                self._fleet.end(in_flight)
                self._request_queues.wake(call.service)
            self._attempt_log.record(call, in_flight, result)
            self._rollout_answers.record(call, in_flight, result)
            if result.first_byte:
                self._fleet.record_answered(in_flight, result.first_byte)
            if result.delivered:
                return
            if result.ran is not ExecutionStatus.NOT_EXECUTED:
                runs += 1
                call.may_have_run = True
            if not await self._retry_or_finish(call, result, delivery, runs, retries):
                return

    async def _send(
        self,
        call: Call,
        in_flight: InFlightRequest,
        delivery: Delivery,
        runs: int,
        retries: CallRetries,
    ) -> AttemptResult:
        def prepare() -> Result[AttemptMetadata, Cause]:
            return self._prepare(call, in_flight, retries)

        def claim_move() -> bool:
            return self._claim_move(call, delivery, runs, retries)

        return await self._exchange.send(call, in_flight, prepare, delivery, claim_move)

    def _claim_move(
        self, call: Call, delivery: Delivery, runs: int, retries: CallRetries
    ) -> bool:
        """Return whether another target may run a call whose target has stalled.

        The retry is then reserved.
        """
        moved = AttemptResult(ExecutionStatus.UNKNOWN, Cause.MOVED)
        if not self._may_retry(call, moved, delivery, runs + 1):
            return False
        demand = self._planner.make_demand(read_clock(), call)
        if self._selector.select(call, demand, set(call.tried)).state is None:
            return False
        return retries.reserve()

    def _prepare(
        self, call: Call, in_flight: InFlightRequest, retries: CallRetries
    ) -> Result[AttemptMetadata, Cause]:
        """Return the metadata for the target, or why nothing may be sent now.

        Raises ``CallerError`` once the request's key may have been revoked, or the
        request was found to crash targets.
        """
        now = read_clock()
        if now >= call.timeout_at:
            return Err(Cause.LATE)
        self._check_quarantine(call)
        self._check_freshness(call, now)
        if in_flight.state.rest.is_resting(now):
            return Err(Cause.RESTING)
        is_open = self._fleet.is_open(in_flight.state, now)
        is_open = is_open and not self._planner.is_closed(in_flight.state)
        if not is_open or not self._planner.may_start(now, call, in_flight):
            return Err(Cause.CLOSED)
        detector = in_flight.state.stall_detector
        if detector.is_stalled(now) and not detector.allows_probe:
            return Err(Cause.STALLED)
        if not retries.spend():
            return Err(Cause.DENIED)
        return Ok(self._planner.make_metadata(now, call, in_flight))

    def _check_freshness(self, call: Call, now: float) -> None:
        """Refuse a request with a key once the key may have been revoked."""
        if call.workspace is None:
            return
        if self._active_configuration.freshness.is_fresh(now):
            return
        if call.may_have_run:
            message = "the configuration became too old to send this again"
            raise CallerError(
                ErrorCode.OUTCOME_UNKNOWN, message, ExecutionStatus.UNKNOWN
            )
        raise make_stale_configuration_error(self._active_configuration, now)

    def _check_quarantine(self, call: Call) -> None:
        """Refuse a request that crashes its targets, or has a part that does."""
        wait = self._crash_monitor.find_wait(call.fingerprint)
        message = "this request crashes the targets that run it"
        if wait <= 0:
            refusal = self._crash_monitor.find_part_refusal(call)
            if refusal is None:
                return
            wait, message = refusal.seconds, refusal.message
        if call.may_have_run:
            raise CallerError(
                ErrorCode.OUTCOME_UNKNOWN, message, ExecutionStatus.UNKNOWN
            )
        raise CallerError(
            ErrorCode.OVERLOADED, message, ExecutionStatus.NOT_EXECUTED, wait
        )

    async def _retry_or_finish(
        self,
        call: Call,
        result: AttemptResult,
        delivery: Delivery,
        runs: int,
        retries: CallRetries,
    ) -> bool:
        """Return whether to retry; if not, the caller has its final response."""
        may_retry = self._may_retry(call, result, delivery, runs)
        if may_retry and await retries.reserve_or_borrow():
            return True
        if delivery.started:
            delivery.abort()
            return False
        if result.failure is not None:
            buffered = result.failure
            await delivery.send(buffered.status, buffered.headers, buffered.body)
            return False
        if call.may_have_run:
            code = ErrorCode.DEADLINE
            if result.cause not in (Cause.TIMEOUT, Cause.LATE):
                code = ErrorCode.OUTCOME_UNKNOWN
            raise CallerError(code, result.cause.value, ExecutionStatus.UNKNOWN)
        now = read_clock()
        # The caller may wait longer than its route's timeout, and retry.
        end = call.timeout_at if now < call.timeout_at else call.deadline
        demand = self._planner.make_demand(now, call)
        placement = self._selector.select(call, demand, set(call.tried))
        wait = self._selector.draw_retry_after(now, call, end, placement)
        raise CallerError(
            ErrorCode.OVERLOADED, result.cause.value, ExecutionStatus.NOT_EXECUTED, wait
        )

    def _may_retry(
        self, call: Call, result: AttemptResult, delivery: Delivery, runs: int
    ) -> bool:
        if len(call.tried) >= MAX_ATTEMPTS or read_clock() >= call.timeout_at:
            return False
        if result.cause in (Cause.TIMEOUT, Cause.UNANSWERED, Cause.DENIED):
            return False
        if result.ran is ExecutionStatus.NOT_EXECUTED:
            return not delivery.started or call.last_event is not None
        if runs >= call.route.max_targets:
            return False
        match call.route.repeat:
            case RetrySafety.SAFE:
                return not delivery.started
            case RetrySafety.RESUMABLE:
                return not delivery.started or call.last_event is not None
            case RetrySafety.ONCE:
                return False


def make_stale_configuration_error(
    active_configuration: ActiveConfiguration, now: float
) -> CallerError:
    """Return the error for a key that may have been revoked in the meantime."""
    age = active_configuration.freshness.find_age(now)
    message = f"the configuration was last confirmed {age:.1f} s ago"
    return CallerError(
        ErrorCode.STALE_CONFIGURATION, message, ExecutionStatus.NOT_EXECUTED, 1.0
    )
