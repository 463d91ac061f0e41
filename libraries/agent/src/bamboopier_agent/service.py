"""The gRPC service: serve one attempt, recall a kept answer, report load."""

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

from .answer import Answer
from .claims import hash_key
from .errors import TargetBrokenError, TargetUnreachableError
from .event_stream import EventStream
from .forwarded_request import (
    list_headers,
    list_response_headers,
    make_body,
    read_max_wait,
)
from .refusals import make_claim_refusal, make_rejection
from .seen_attempts import SeenAttempts
from .usage import UsageReader

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from bamboopier_configuration.model import Service
    from bamboopier_configuration.settings import AgentSettings
    from bamboopier_decisions.claims.table import ClaimOutcome
    from bamboopier_objects.follower import ConfigurationFollower

    from .claims import ClaimTable
    from .context import ContextKeeper
    from .gate import AdmissionGate, Entry
    from .kept_answers import KeptAnswer, KeptAnswers
    from .metrics import AgentMetrics
    from .target import TargetClient
    from .target_watch import TargetWatch

# How long past its deadline a non-idempotent call may go on, for its answer to be there
# when the caller repeats the key. Without an end a hung target would fill its slots.
OVERTIME_SECONDS = 60.0

log = structlog.get_logger()


class AgentService(agent_pb2_grpc.AgentServicer):
    """Serves attempts for the one target beside this process."""

    def __init__(
        self,
        settings: AgentSettings,
        target: TargetClient,
        gate: AdmissionGate,
        claims: ClaimTable,
        kept: KeptAnswers,
        context: ContextKeeper,
        watch: TargetWatch,
        follower: ConfigurationFollower,
        metrics: AgentMetrics,
    ) -> None:
        self._settings = settings
        self._target = target
        self._gate = gate
        self._claims = claims
        self._kept = kept
        self._context = context
        self._watch = watch
        self._follower = follower
        self._metrics = metrics
        self._seen = SeenAttempts()
        self._runs: set[asyncio.Task[None]] = set()

    async def Serve(  # noqa: N802 (the name is the protocol's)
        self, request: pb.ServeRequest, context: Any
    ) -> AsyncIterator[pb.ServeEvent]:
        """Run one attempt and stream its answer.

        Cancelling it cancels the target, unless a non-idempotent call has started.
        """
        self._follower.record_announced(request.generation)
        answer = Answer(request.attempt_id, self.report)
        if not self._seen.add(request.attempt_id):
            # The first copy may run: "not run" would be false, and so no refusal.
            yield answer.make_unknown(pb.CONNECTION_LOST, "attempt received twice")
            return
        refusal = self._find_refusal(request, answer)
        if refusal is not None:
            self._log_refusal(request, refusal)
            yield refusal
            return
        deadline = time.monotonic() + request.timeout_ms / 1000
        stream = EventStream(deadline)
        run = asyncio.create_task(self._carry(request, answer, stream))
        self._runs.add(run)
        run.add_done_callback(self._runs.discard)
        try:
            async with aclosing(stream.read()) as events:
                async for event in events:
                    yield event
            await run
        finally:
            stream.leave()
            if not stream.detached:
                run.cancel()

    async def _carry(
        self, request: pb.ServeRequest, answer: Answer, stream: EventStream
    ) -> None:
        """Admit, claim and run one attempt, telling the stream what happens."""
        try:
            async with self._gate.enter(self._describe(request, stream)) as entry:
                if entry.reject is not None:
                    refusal = make_rejection(answer, entry.reject)
                    self._log_refusal(request, refusal)
                    await stream.put(refusal)
                    return
                running = self._claim_and_run(request, answer, entry, stream)
                async with aclosing(running) as events:
                    async for event in events:
                        await stream.put(event)
        finally:
            await stream.put(None)

    async def Recall(  # noqa: N802 (the name is the protocol's)
        self, request: pb.RecallRequest, context: Any
    ) -> pb.RecallReply:
        """Return the kept answer of an idempotency key."""
        key = hash_key(request.workspace, request.idempotency_key)
        if self._claims.is_abandoned(request.workspace, request.idempotency_key):
            return pb.RecallReply(state=pb.RecallReply.NEVER_RAN)
        if self._claims.has_given_up(request.claim_id):
            return pb.RecallReply(state=pb.RecallReply.NEVER_RAN)
        if self._claims.is_open(request.claim_id):
            return pb.RecallReply(state=pb.RecallReply.RUNNING)
        kept = self._kept.find(key)
        if kept is None or kept.fingerprint != request.fingerprint:
            return pb.RecallReply(state=pb.RecallReply.NOT_KEPT)
        if not kept.finished:
            return pb.RecallReply(state=pb.RecallReply.RUNNING)
        head = pb.ResponseHead(
            status=kept.status,
            headers=[pb.Header(name=n, value=v) for n, v in kept.headers],
            weight_version=kept.weight_version,
            replayed=True,
        )
        return pb.RecallReply(
            state=pb.RecallReply.KEPT, head=head, body=bytes(kept.body)
        )

    async def Report(  # noqa: N802 (the name is the protocol's)
        self, request: pb.ReportRequest, context: Any
    ) -> pb.LoadReport:
        """Return the load now."""
        self._follower.record_announced(request.generation)
        return self.report()

    def report(self) -> pb.LoadReport:
        """Return the load as it is piggybacked on answers."""
        admission = self._gate.admission
        self._metrics.running.set(admission.running)
        self._metrics.waiting.set(admission.waiting)
        return pb.LoadReport(
            target=self._settings.target,
            start_id=self._watch.start_id,
            running=admission.running,
            waiting=admission.waiting,
            limit=admission.limit,
            prefill_rate=admission.prefill_rate,
            queue_delay=admission.estimate_delay(),
            accepting=admission.accepting
            and self._watch.reachable
            and not self._is_drained(),
            weight_version=self._watch.version,
            generation=self._follower.directory.generation,
        )

    def _is_drained(self) -> bool:
        drains = self._follower.directory.configuration.drains
        return (
            self._settings.target in drains.targets
            or self._settings.data_centre in drains.data_centres
        )

    def _find_refusal(
        self, request: pb.ServeRequest, answer: Answer
    ) -> pb.ServeEvent | None:
        if request.service != self._settings.service:
            return answer.make_not_run(pb.TARGET_DOWN, detail="another service")
        if self._is_drained():
            return answer.make_not_run(pb.STOPPING, detail="drained")
        if not self._watch.reachable:
            return answer.make_not_run(pb.TARGET_DOWN)
        wanted = request.model.weight_version
        if wanted and wanted != self._watch.version:
            return answer.make_not_run(pb.WRONG_VERSION, detail=self._watch.version)
        return None

    def _describe(
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
        answer: Answer,
        entry: Entry,
        stream: EventStream,
    ) -> AsyncGenerator[pb.ServeEvent]:
        if request.idempotent or not request.idempotency_key:
            running = self._run(request, answer, entry, stream, None)
            async with aclosing(running) as events:
                async for event in events:
                    yield event
            return
        service = self._follower.directory.services.get(request.service)
        if service is None:
            yield answer.make_not_run(pb.STALE_GENERATION, detail="service unknown")
            return
        claimed = await self._claims.claim(
            service, request.workspace, request.idempotency_key, request.fingerprint
        )
        if isinstance(claimed, Err):
            detail = str(claimed.err_value)
            refusal = answer.make_not_run(pb.PLATFORM_DOWN, 2.0, detail)
        elif claimed.ok_value.status is not ClaimStatus.GRANTED:
            refusal = make_claim_refusal(answer, claimed.ok_value)
        else:
            refusal = None
        if refusal is not None:
            self._log_refusal(request, refusal)
            yield refusal
            return
        granted = claimed.unwrap()
        running = self._run_claimed(request, answer, entry, stream, service, granted)
        async with aclosing(running) as events:
            async for event in events:
                yield event

    async def _run_claimed(
        self,
        request: pb.ServeRequest,
        answer: Answer,
        entry: Entry,
        stream: EventStream,
        service: Service,
        granted: ClaimOutcome,
    ) -> AsyncGenerator[pb.ServeEvent]:
        """Run under a claim; release it if nothing was sent to the target.

        The release comes before "not run" is said: the next attempt, at another agent,
        would else find the key claimed and tell the caller "outcome unknown".
        """
        key = hash_key(request.workspace, request.idempotency_key)
        kept = self._kept.begin(key, request.fingerprint)
        reached = True
        try:
            running = self._run(request, answer, entry, stream, kept)
            async with aclosing(running) as events:
                async for event in events:
                    if event.HasField("not_run"):
                        reached = False
                        self._kept.discard(key)
                        await self._claims.release(service, granted)
                    yield event
        finally:
            if entry.answered:
                self._kept.finish(key)
            else:
                self._kept.discard(key)
            if reached and not stream.detached:
                # Cancelled before anything was sent.
                self._claims.abandon(service, granted)

    async def _run(
        self,
        request: pb.ServeRequest,
        answer: Answer,
        entry: Entry,
        stream: EventStream,
        kept: KeptAnswer | None,
    ) -> AsyncGenerator[pb.ServeEvent]:
        started = time.monotonic()
        fetched = await self._context.fetch(request) if request.model.model else 0
        if time.monotonic() >= stream.deadline:
            # This process or the platform stood still for so long that the gateway has
            # told its caller the end; a thawed process must not run what came before.
            yield answer.make_not_run(pb.DEADLINE)
            return
        usage = UsageReader()
        sent = time.monotonic()
        first_byte = 0.0
        stream.detached = not request.idempotent
        try:
            async with (
                asyncio.timeout_at(stream.deadline + OVERTIME_SECONDS),
                self._target.open(
                    request.method,
                    request.path,
                    list_headers(request),
                    make_body(request),
                ) as response,
            ):
                first_byte = time.monotonic() - sent
                self._metrics.first_byte.observe(time.monotonic() - started)
                version = response.headers.get("Weight-Version", "")
                headers = list_response_headers(response)
                if kept is not None:
                    kept.status, kept.headers = response.status, headers
                    kept.weight_version = version
                entry.mark_first_byte()
                yield answer.make_head(response.status, headers, version)
                async for chunk in response.content.iter_any():
                    usage.add(chunk)
                    if kept is not None:
                        self._kept.add(kept, chunk)
                    yield answer.make_chunk(chunk)
        except TargetUnreachableError as error:
            entry.failed = True
            self._log_end(request, "not-run", 0)
            yield answer.make_not_run(pb.TARGET_DOWN, detail=str(error))
            return
        except (TargetBrokenError, TimeoutError) as error:
            entry.failed = True
            self._log_end(request, "unknown", 0)
            yield answer.make_unknown(pb.TARGET_CRASHED, str(error))
            return
        counted = usage.read()
        entry.answered = True
        if request.model.model:
            prefill_tokens = max(0, counted.prompt_tokens - counted.cached_tokens)
            self._context.note_answer(
                request, counted.cached_tokens, prefill_tokens, first_byte
            )
        entry.output_tokens = counted.completion_tokens
        entry.prefill_tokens = max(0, counted.prompt_tokens - counted.cached_tokens)
        self._count_tokens(counted.prompt_tokens, counted.cached_tokens, fetched)
        self._log_end(request, "finished", counted.cached_tokens)
        yield answer.make_finished(
            pb.Finished(
                prompt_tokens=counted.prompt_tokens,
                cached_tokens=counted.cached_tokens,
                fetched_tokens=fetched * self._context.find_block_tokens(request),
                output_tokens=counted.completion_tokens,
            )
        )

    def _count_tokens(self, prompt: int, cached: int, fetched: int) -> None:
        self._metrics.outcomes.labels("finished").inc()
        self._metrics.prompt_tokens.labels("recomputed").inc(max(0, prompt - cached))
        self._metrics.prompt_tokens.labels("reused").inc(cached)
        self._metrics.link_blocks.labels("fetch").inc(fetched)

    def _log_end(self, request: pb.ServeRequest, outcome: str, cached: int) -> None:
        log.info(
            "attempt ended",
            request_id=request.request_id,
            workspace=request.workspace,
            target=self._settings.target,
            outcome=outcome,
            cached_tokens=cached,
        )

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
