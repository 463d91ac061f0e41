"""The agent's gRPC service: serves attempts, recalls cached responses, reports load."""

from __future__ import annotations

import asyncio
import time
from contextlib import aclosing
from typing import TYPE_CHECKING, Any

import structlog
from result import Err

from bamboopier_decisions.admission.messages import AdmissionRequested
from bamboopier_decisions.claims.table import ClaimStatus
from bamboopier_protocol import agent_pb2 as pb, agent_pb2_grpc

from .attempt_runner import AttemptRunner
from .claims import hash_key
from .event_builder import EventBuilder
from .event_stream import EventStream
from .forwarded_request import read_max_wait
from .refusals import make_claim_refusal, make_rejection
from .seen_attempts import SeenAttempts

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from bamboopier_configuration.model import Service
    from bamboopier_configuration.settings import AgentSettings
    from bamboopier_decisions.claims.table import ClaimOutcome
    from bamboopier_objects.follower import ConfigurationFollower

    from .claims import ClaimTable
    from .context import ContextBlockManager
    from .gate import AdmissionGate, Entry
    from .metrics import AgentMetrics
    from .response_cache import ResponseCache
    from .target import TargetClient
    from .target_monitor import TargetMonitor

log = structlog.get_logger()


class AgentService(agent_pb2_grpc.AgentServicer):
    """Serves attempts at the one target of this agent."""

    def __init__(
        self,
        settings: AgentSettings,
        target: TargetClient,
        gate: AdmissionGate,
        claims: ClaimTable,
        response_cache: ResponseCache,
        context: ContextBlockManager,
        monitor: TargetMonitor,
        follower: ConfigurationFollower,
        metrics: AgentMetrics,
    ) -> None:
        self._settings = settings
        self._gate = gate
        self._claims = claims
        self._response_cache = response_cache
        self._runner = AttemptRunner(
            settings.target, target, response_cache, context, monitor, metrics
        )
        self._monitor = monitor
        self._follower = follower
        self._metrics = metrics
        self._seen = SeenAttempts()
        self._tasks: set[asyncio.Task[None]] = set()
        # Streams whose last event gRPC has not taken yet.
        self.open_streams = 0

    async def Serve(  # noqa: N802 (the name is the protocol's)
        self, request: pb.ServeRequest, context: Any
    ) -> AsyncIterator[pb.ServeEvent]:
        """Run one attempt and stream its response.

        Cancelling the call cancels the request at the target, unless the call is
        non-idempotent and has been sent.
        """
        self._follower.record_announced(request.generation)
        builder = EventBuilder(request.attempt_id, self.report)
        if not self._seen.add(request.attempt_id):
            # The first copy may have run, so "not run" would be false.
            yield builder.make_unknown(pb.CONNECTION_LOST, "attempt received twice")
            return
        refusal = self._find_refusal(request, builder)
        if refusal is not None:
            self._log_refusal(request, refusal)
            yield refusal
            return
        deadline = time.monotonic() + request.timeout_ms / 1000
        stream = EventStream(deadline)
        run = asyncio.create_task(self._serve_attempt(request, builder, stream))
        self._tasks.add(run)
        run.add_done_callback(self._tasks.discard)
        self.open_streams += 1
        try:
            async with aclosing(stream.read()) as events:
                async for event in events:
                    yield event
            await run
        finally:
            self.open_streams -= 1
            stream.disconnect()
            if not stream.detached:
                run.cancel()

    async def _serve_attempt(
        self, request: pb.ServeRequest, builder: EventBuilder, stream: EventStream
    ) -> None:
        """Admit, claim and run one attempt, and write its events to the stream."""
        try:
            async with self._gate.enter(
                self._build_admission_request(request, stream)
            ) as entry:
                if entry.reject is not None:
                    refusal = make_rejection(builder, entry.reject)
                    self._log_refusal(request, refusal)
                    await stream.put(refusal)
                    return
                running = self._claim_and_run(request, builder, entry, stream)
                async with aclosing(running) as events:
                    async for event in events:
                        await stream.put(event)
        finally:
            await stream.put(None)

    async def Recall(  # noqa: N802 (the name is the protocol's)
        self, request: pb.RecallRequest, context: Any
    ) -> pb.RecallReply:
        """Return the state and, if it is cached, the response of an idempotency key."""
        key = hash_key(request.workspace, request.idempotency_key)
        if self._claims.is_abandoned(request.workspace, request.idempotency_key):
            return pb.RecallReply(state=pb.RecallReply.NEVER_RAN)
        if self._claims.was_abandoned(request.claim_id):
            return pb.RecallReply(state=pb.RecallReply.NEVER_RAN)
        if self._claims.is_open(request.claim_id):
            return pb.RecallReply(state=pb.RecallReply.RUNNING)
        cached_response = self._response_cache.find(key)
        if (
            cached_response is None
            or cached_response.fingerprint != request.fingerprint
        ):
            return pb.RecallReply(state=pb.RecallReply.NOT_KEPT)
        if not cached_response.finished:
            return pb.RecallReply(state=pb.RecallReply.RUNNING)
        head = pb.ResponseHead(
            status=cached_response.status,
            headers=[pb.Header(name=n, value=v) for n, v in cached_response.headers],
            weight_version=cached_response.weight_version,
            replayed=True,
        )
        return pb.RecallReply(
            state=pb.RecallReply.KEPT, head=head, body=bytes(cached_response.body)
        )

    async def Report(  # noqa: N802 (the name is the protocol's)
        self, request: pb.ReportRequest, context: Any
    ) -> pb.LoadReport:
        """Return the current load."""
        self._follower.record_announced(request.generation)
        return self.report()

    def report(self) -> pb.LoadReport:
        """Return the current load, which is also attached to responses."""
        admission = self._gate.admission
        self._metrics.running.set(admission.running)
        self._metrics.waiting.set(admission.waiting)
        return pb.LoadReport(
            target=self._settings.target,
            start_id=self._monitor.start_id,
            running=admission.running,
            waiting=admission.waiting,
            limit=admission.limit,
            prefill_rate=admission.prefill_rate,
            queue_delay=admission.estimate_delay(),
            accepting=admission.accepting
            and self._monitor.reachable
            and not self._is_drained(),
            weight_version=self._monitor.version,
            generation=self._follower.directory.generation,
        )

    def _is_drained(self) -> bool:
        drains = self._follower.directory.configuration.drains
        return (
            self._settings.target in drains.targets
            or self._settings.data_centre in drains.data_centres
        )

    def _find_refusal(
        self, request: pb.ServeRequest, builder: EventBuilder
    ) -> pb.ServeEvent | None:
        if request.service != self._settings.service:
            return builder.make_not_run(pb.TARGET_DOWN, detail="another service")
        if self._is_drained():
            return builder.make_not_run(pb.STOPPING, detail="drained")
        if not self._monitor.reachable:
            return builder.make_not_run(pb.TARGET_DOWN)
        requested = request.model.weight_version
        if requested and requested != self._monitor.version:
            return builder.make_not_run(pb.WRONG_VERSION, detail=self._monitor.version)
        return None

    def _build_admission_request(
        self, request: pb.ServeRequest, stream: EventStream
    ) -> AdmissionRequested:
        workspace = self._follower.directory.workspaces.get(request.workspace)
        return AdmissionRequested(
            now=time.monotonic(),
            request_id=request.attempt_id,
            workspace=request.workspace,
            weight=workspace.weight if workspace is not None else 1.0,
            priority=request.priority,
            deadline=stream.deadline,
            prompt_tokens=request.model.prompt_tokens,
            max_tokens=request.model.max_tokens,
            max_wait=read_max_wait(request),
        )

    async def _claim_and_run(
        self,
        request: pb.ServeRequest,
        builder: EventBuilder,
        entry: Entry,
        stream: EventStream,
    ) -> AsyncGenerator[pb.ServeEvent]:
        if request.idempotent or not request.idempotency_key:
            running = self._runner.run(request, builder, entry, stream, None)
            async with aclosing(running) as events:
                async for event in events:
                    yield event
            return
        service = self._follower.directory.services.get(request.service)
        if service is None:
            yield builder.make_not_run(pb.STALE_GENERATION, detail="service unknown")
            return
        claim_result = await self._claims.claim(
            service, request.workspace, request.idempotency_key, request.fingerprint
        )
        if isinstance(claim_result, Err):
            detail = str(claim_result.err_value)
            refusal = builder.make_not_run(pb.PLATFORM_DOWN, 2.0, detail)
        elif claim_result.ok_value.status is not ClaimStatus.GRANTED:
            refusal = make_claim_refusal(builder, claim_result.ok_value)
        else:
            refusal = None
        if refusal is not None:
            self._log_refusal(request, refusal)
            yield refusal
            return
        granted = claim_result.unwrap()
        running = self._run_claimed(request, builder, entry, stream, service, granted)
        async with aclosing(running) as events:
            async for event in events:
                yield event

    async def _run_claimed(
        self,
        request: pb.ServeRequest,
        builder: EventBuilder,
        entry: Entry,
        stream: EventStream,
        service: Service,
        granted: ClaimOutcome,
    ) -> AsyncGenerator[pb.ServeEvent]:
        """Run under a claim; release it if nothing was sent to the target.

        The claim is released before "not run" is reported. Otherwise the next attempt,
        at another agent, would find the key claimed, and the caller would receive
        "outcome unknown".
        """
        key = hash_key(request.workspace, request.idempotency_key)
        cached_response = self._response_cache.start(key, request.fingerprint)
        may_have_run = True
        try:
            running = self._runner.run(request, builder, entry, stream, cached_response)
            async with aclosing(running) as events:
                async for event in events:
                    if event.HasField("not_run"):
                        may_have_run = False
                        self._response_cache.discard(key)
                        await self._claims.release(service, granted)
                    yield event
        finally:
            if entry.succeeded:
                self._response_cache.finish(key)
            else:
                self._response_cache.discard(key)
            if may_have_run and not stream.detached:
                # The attempt was cancelled before anything was sent to the target.
                self._claims.abandon(service, granted)

    def _log_refusal(self, request: pb.ServeRequest, event: pb.ServeEvent) -> None:
        self._metrics.outcomes.labels("not-run").inc()
        log.info(
            "attempt refused",
            request_id=request.request_id,
            workspace=request.workspace,
            target=self._settings.target,
            reason=pb.Cause.Name(event.not_run.cause),
            retry_after_ms=event.not_run.retry_after_ms,
        )
