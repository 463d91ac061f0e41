"""Executes a call's attempts as the router decides."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

from bamboopier_decisions.routing.messages import (
    AttemptEnded,
    ExecutionStatus,
    FirstByteReceived,
    Refuse,
    RefuseReason,
    RequestArrived,
    Send,
    TargetLoad,
    TargetReported,
)
from bamboopier_protocol import agent_pb2 as pb

from .attempt import Attempt, AttemptResult
from .errors import CallerError, ErrorCode, make_refusal
from .recall import Recall

if TYPE_CHECKING:
    from aiohttp import web

    from bamboopier_decisions.routing.messages import RoutingDecision
    from bamboopier_decisions.routing.router import Router
    from bamboopier_objects.follower import ConfigurationFollower

    from .agent_connections import AgentConnections
    from .call import Call
    from .delivery import Delivery
    from .fleet import Fleet
    from .metrics import GatewayMetrics
    from .shared_quarantine import SharedQuarantine

# Causes that no other target can avoid: all agents claim keys at the same platform.
_CLAIM_MESSAGES: dict[int, str] = {
    pb.PLATFORM_DOWN: "the platform does not answer, so the key cannot be claimed",
    pb.KEY_TABLE_FULL: "no more idempotency keys can be kept at present",
}

# The target, or its VM, crashed while it had the request.
_CRASH_CAUSES = frozenset({pb.TARGET_CRASHED, pb.CONNECTION_LOST})

log = structlog.get_logger()


class Forwarder:
    """Runs attempts until the caller has its final response."""

    def __init__(
        self,
        router: Router,
        fleet: Fleet,
        agents: AgentConnections,
        follower: ConfigurationFollower,
        metrics: GatewayMetrics,
        quarantine: SharedQuarantine,
    ) -> None:
        self._router = router
        self._fleet = fleet
        self._agents = agents
        self._recall = Recall(agents)
        self._follower = follower
        self._metrics = metrics
        self._quarantine = quarantine

    async def forward(self, call: Call, delivery: Delivery) -> web.StreamResponse:
        """Respond to the caller; raises ``CallerError`` if no response was started."""
        wait = self._quarantine.find_wait(call)
        if wait > 0:
            raise _make_quarantine_error(call, wait)
        decision: RoutingDecision | None = self._router.handle(_make_arrival(call))
        try:
            while isinstance(decision, Send):
                self._log_choice(call, decision)
                sent_at = time.monotonic()
                result = await self._run_attempt(call, decision, delivery)
                if result.cause in (pb.KEY_CLAIMED, pb.KEY_REUSED):
                    return await self._recall.respond(call, result, delivery)
                if result.cause in _CLAIM_MESSAGES:
                    raise _make_claim_error(result)
                self._record_evidence(call, decision, result, sent_at)
                decision = self._report_end(call, decision, result, delivery)
        finally:
            self._router.abandon(call.request_id)
        if isinstance(decision, Refuse):
            return await self._refuse(call, decision, delivery)
        if delivery.response.prepared and result.ran is not ExecutionStatus.EXECUTED:
            error = CallerError(
                ErrorCode.OUTCOME_UNKNOWN,
                "the answer broke off",
                ExecutionStatus.UNKNOWN,
            )
            return await delivery.fail(error)
        return delivery.response

    def _record_evidence(
        self, call: Call, send: Send, result: AttemptResult, sent_at: float
    ) -> None:
        """Record whether the target crashed with the call, or completed it."""
        if result.ran is ExecutionStatus.EXECUTED:
            self._quarantine.record_completed(call)
        elif result.cause in _CRASH_CAUSES and result.ran is ExecutionStatus.UNKNOWN:
            seconds = time.monotonic() - sent_at
            self._quarantine.record_crash(call, send.target, seconds)

    async def _run_attempt(
        self, call: Call, send: Send, delivery: Delivery
    ) -> AttemptResult:
        remaining = call.deadline - time.monotonic()
        address = self._fleet.find_address(send.target)
        # A request that may be repeated needs no probe of the connection.
        agents = self._agents
        connect = agents.connect if call.idempotent else agents.connect_and_probe
        stub = await connect(address, remaining)
        if stub is None:
            return AttemptResult(
                ExecutionStatus.NOT_EXECUTED,
                pb.CONNECTION_LOST,
                "no connection to the agent",
                broken=True,
            )

        def report_head(load: pb.LoadReport, seconds: float) -> None:
            now = time.monotonic()
            self._router.handle(
                TargetReported(now, send.target, make_target_load(load))
            )
            first_byte_event = FirstByteReceived(
                now, call.request_id, send.target, seconds
            )
            self._router.handle(first_byte_event)

        attempt = Attempt(
            call,
            stub,
            self._follower.directory.generation,
            report_head,
            send.max_wait,
        )
        result = await attempt.run(delivery)
        if result.load is not None:
            self._follower.record_announced(result.load.generation)
            self._fleet.reports.record(send.target, result.load)
            load = make_target_load(result.load)
            self._router.handle(TargetReported(time.monotonic(), send.target, load))
        elif result.broken:
            self._fleet.reports.record(send.target, None)
        return result

    def _report_end(
        self, call: Call, send: Send, result: AttemptResult, delivery: Delivery
    ) -> RoutingDecision | None:
        ended = AttemptEnded(
            now=time.monotonic(),
            request_id=call.request_id,
            target=send.target,
            ran=result.ran,
            retry_after=result.retry_after,
            broken=result.broken,
            delivered=delivery.started,
            first_byte=result.first_byte,
        )
        self._record_metrics(call, result)
        if result.ran is not ExecutionStatus.EXECUTED:
            _log_failure(call, send, result)
        return self._router.handle(ended)

    async def _refuse(
        self, call: Call, refuse: Refuse, delivery: Delivery
    ) -> web.StreamResponse:
        log.info(
            "request refused",
            request_id=call.request_id,
            workspace=call.workspace,
            service=call.service,
            weight_version=_get_weight_version(call),
            reason=refuse.reason.value,
            ran=refuse.ran.value,
            retry_after=round(refuse.retry_after, 3),
            passed_over={p.target: p.reason.value for p in refuse.excluded},
        )
        raise make_refusal(refuse)

    def _log_choice(self, call: Call, send: Send) -> None:
        self._metrics.attempts.labels(call.service, send.reason.value).inc()
        log.info(
            "target chosen",
            request_id=call.request_id,
            workspace=call.workspace,
            service=call.service,
            target=send.target,
            weight_version=_get_weight_version(call),
            reason=send.reason.value,
            candidates={
                c.target: round(c.expected_seconds, 4) for c in send.candidates
            },
        )

    def _record_metrics(self, call: Call, result: AttemptResult) -> None:
        if result.first_byte:
            first_byte = self._metrics.first_byte.labels(call.service)
            first_byte.observe(result.first_byte)
        if result.finished is None:
            return
        cached = result.finished.cached_tokens
        recomputed = max(0, result.finished.prompt_tokens - cached)
        tokens = self._metrics.prompt_tokens
        tokens.labels(call.service, "reused").inc(cached)
        tokens.labels(call.service, "recomputed").inc(recomputed)


def _log_failure(call: Call, send: Send, result: AttemptResult) -> None:
    """Log an attempt without a response: a crashed agent logs nothing itself."""
    log.info(
        "attempt failed",
        request_id=call.request_id,
        workspace=call.workspace,
        service=call.service,
        target=send.target,
        ran=result.ran.value,
        cause=pb.Cause.Name(result.cause),
        detail=result.detail,
        broken=result.broken,
        retry_after=round(result.retry_after, 3),
    )


def _get_weight_version(call: Call) -> str:
    """Return the weight version of a call; empty for plain services."""
    return call.model.weight_version if call.model is not None else ""


def _make_claim_error(result: AttemptResult) -> CallerError:
    message = _CLAIM_MESSAGES[result.cause]
    wait = result.retry_after
    return CallerError(
        ErrorCode.CLAIM_UNAVAILABLE, message, ExecutionStatus.NOT_EXECUTED, wait
    )


def _make_quarantine_error(call: Call, wait: float) -> CallerError:
    log.info(
        "request refused",
        request_id=call.request_id,
        workspace=call.workspace,
        service=call.service,
        reason=RefuseReason.QUARANTINED.value,
        ran=ExecutionStatus.NOT_EXECUTED.value,
        retry_after=round(wait, 3),
    )
    message = "this request broke the targets that ran it"
    return CallerError(
        ErrorCode.QUARANTINED, message, ExecutionStatus.NOT_EXECUTED, wait
    )


def _make_arrival(call: Call) -> RequestArrived:
    model = call.model
    return RequestArrived(
        now=time.monotonic(),
        request_id=call.request_id,
        workspace=call.workspace,
        service=call.service,
        idempotent=call.idempotent,
        deadline=call.deadline,
        prompt_tokens=model.prompt_tokens if model else 0,
        block_tokens=model.block_tokens if model else 0,
        block_keys=model.block_keys if model else (),
        fingerprint=call.fingerprint,
        priority=call.priority,
        weight_version=model.weight_version if model else "",
    )


def make_target_load(report: pb.LoadReport) -> TargetLoad:
    """Convert a load report to the router's ``TargetLoad``."""
    return TargetLoad(
        running=report.running,
        waiting=report.waiting,
        limit=report.limit,
        queued_tokens=report.queued_tokens,
        prefill_rate=report.prefill_rate,
        queue_delay=report.queue_delay,
        accepting=report.accepting,
        start_id=report.start_id,
        weight_version=report.weight_version,
    )
