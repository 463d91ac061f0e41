"""Sends one attempt to one agent and verifies that its response is complete."""

from __future__ import annotations

import asyncio
import math
import time
import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import grpc

from bamboopier_decisions.routing.messages import ExecutionStatus
from bamboopier_protocol import agent_pb2 as pb

from .delivery import find_content_length

if TYPE_CHECKING:
    from collections.abc import AsyncIterable, Callable

    from bamboopier_protocol.agent_pb2_grpc import AgentStub

    from .call import Call
    from .delivery import Delivery

_MILLISECONDS = 1000
# The agent itself responds when the deadline has passed and reports whether the request
# ran; an attempt waits this long for that report. A suspended agent sends none.
DEADLINE_GRACE_SECONDS = 0.25
# gRPC's message for a call that waited for a connection and got none. With its retries
# disabled (``agent_connections.CHANNEL_OPTIONS``) a call is assigned to one connection
# at most, so with this message no connection carried it.
_NO_CONNECTION = "failed to connect to all addresses"
# A response that has started may exceed the deadline while it makes progress: while no
# gap between its events is longer than this.
STALL_TIMEOUT_SECONDS = 30.0


@dataclass(slots=True)
class AttemptResult:
    """The outcome of an attempt; times in seconds."""

    ran: ExecutionStatus
    cause: int = pb.CAUSE_UNSPECIFIED
    detail: str = ""
    # Seconds after which the target expects free capacity; 0 when it gave none.
    retry_after: float = 0.0
    claimed_by: str = ""
    claim_id: str = ""
    broken: bool = False
    first_byte: float = 0.0
    finished: pb.Finished | None = None
    load: pb.LoadReport | None = None


@dataclass(slots=True)
class Attempt:
    """Sends a call to an agent and forwards its response to the delivery."""

    call: Call
    stub: AgentStub
    generation: int
    # Called with the load report and the seconds until the response's head: a long
    # response would otherwise report them only at its end.
    report_head: Callable[[pb.LoadReport, float], None] = lambda _load, _seconds: None
    # Seconds for which the target may queue the call before it refuses it.
    max_wait: float = math.inf
    attempt_id: str = field(default_factory=lambda: uuid.uuid4().hex)
    _result: AttemptResult = field(
        default_factory=lambda: AttemptResult(ExecutionStatus.UNKNOWN)
    )
    _expected_sequence: int = 0
    _body_bytes: int = 0
    # The body's length where the target sent one, and the chunks that complete it.
    _content_length: int | None = None
    _last_chunk: bytes = b""
    _started: bool = False

    async def run(self, delivery: Delivery) -> AttemptResult:
        """Run until the response ends; a cancellation cancels the call at the agent."""
        remaining = self.call.deadline - time.monotonic() + DEADLINE_GRACE_SECONDS
        loop = asyncio.get_running_loop()
        stream = self.stub.Serve(self._make_request())
        try:
            async with asyncio.timeout_at(loop.time() + remaining) as timeout:
                return await self._read_events(stream, delivery, timeout)
        except TimeoutError:
            self._mark_broken("no response by the deadline")
            # A long response does not indicate a failed target.
            self._result.broken = not self._started
            self._result.cause = pb.DEADLINE
            return self._result
        except grpc.aio.AioRpcError as error:
            return self._classify(error)
        finally:
            stream.cancel()

    async def _read_events(
        self,
        stream: AsyncIterable[pb.ServeEvent],
        delivery: Delivery,
        timeout: asyncio.Timeout,
    ) -> AttemptResult:
        started = time.monotonic()
        loop = asyncio.get_running_loop()
        async for event in stream:
            if not self._is_expected(event):
                return self._mark_broken("event of another response or out of order")
            if event.HasField("load"):
                self._result.load = event.load
            if event.HasField("head"):
                self._result.first_byte = time.monotonic() - started
                self.report_head(event.load, self._result.first_byte)
            if await self._handle_event(event, delivery):
                return self._result
            timeout.reschedule(
                max(timeout.when() or 0.0, loop.time() + STALL_TIMEOUT_SECONDS)
            )
        return self._mark_broken("the response ended early")

    def _make_request(self) -> pb.ServeRequest:
        call = self.call
        remaining = max(0.0, call.deadline - time.monotonic())
        request = pb.ServeRequest(
            request_id=call.request_id,
            attempt_id=self.attempt_id,
            workspace=call.workspace,
            service=call.service,
            generation=self.generation,
            timeout_ms=int(remaining * _MILLISECONDS),
            priority=call.priority,
            idempotent=call.idempotent,
            idempotency_key=call.idempotency_key,
            fingerprint=call.fingerprint,
            method=call.method,
            path=call.path,
            headers=[pb.Header(name=n, value=v) for n, v in call.headers],
            body=call.body,
        )
        if math.isfinite(self.max_wait):
            request.max_wait_ms = int(self.max_wait * _MILLISECONDS)
        model = call.model
        if model is not None:
            request.model.model = model.model
            request.model.weight_version = model.weight_version
            request.model.block_keys.extend(model.block_keys)
            request.model.prompt_tokens = model.prompt_tokens
            request.model.max_tokens = model.max_tokens
            request.model.cache_salt = model.cache_salt
            request.model.stream = model.stream
        return request

    def _is_expected(self, event: pb.ServeEvent) -> bool:
        """Return whether an event may follow; detect misdirected and lost events.

        An event of another attempt or out of sequence would put foreign bytes into
        this caller's response, so nothing after it can be trusted. The same holds for a
        response without a head, with two heads, or refused after it started.
        """
        expected = (self.attempt_id, self._expected_sequence)
        self._expected_sequence += 1
        if (event.attempt_id, event.sequence) != expected:
            return False
        kind = event.WhichOneof("event")
        if kind in ("head", "not_run"):
            return not self._started
        return kind == "unknown" or (kind is not None and self._started)

    async def _handle_event(self, event: pb.ServeEvent, delivery: Delivery) -> bool:
        """Handle one event; return True when the response has ended."""
        kind = event.WhichOneof("event")
        if kind == "head":
            self._started = True
            self._content_length = find_content_length(event.head)
            await delivery.start(event.head)
        elif kind == "chunk":
            self._body_bytes += len(event.chunk)
            if (
                self._content_length is not None
                and self._body_bytes >= self._content_length
            ):
                # A caller that counts bytes would treat these as the end and disconnect
                # before the response is verified as complete and recorded.
                self._last_chunk += event.chunk
            else:
                await delivery.write(event.chunk)
        elif kind == "finished":
            return await self._finish(event.finished, delivery)
        elif kind == "not_run":
            self._record_not_run(event.not_run)
            return True
        else:
            self._result.cause = event.unknown.cause
            self._result.detail = event.unknown.detail
            self._result.broken = True
            return True
        return False

    async def _finish(self, finished: pb.Finished, delivery: Delivery) -> bool:
        if finished.body_bytes != self._body_bytes:
            self._mark_broken("the response is incomplete")
            return True
        self._result.ran = ExecutionStatus.EXECUTED
        self._result.finished = finished
        try:
            if self._last_chunk:
                await delivery.write(self._last_chunk)
            await delivery.finish()
        except asyncio.CancelledError:
            # The caller has the complete response and closes at once, before this task
            # runs again. The request still counts as served and is recorded.
            task = asyncio.current_task()
            if task is not None:
                task.uncancel()
        return True

    def _record_not_run(self, not_run: pb.NotRun) -> None:
        result = self._result
        result.ran = ExecutionStatus.NOT_EXECUTED
        result.cause = not_run.cause
        result.detail = not_run.detail
        result.retry_after = not_run.retry_after_ms / _MILLISECONDS
        result.claimed_by = not_run.claimed_by
        result.claim_id = not_run.claim_id
        result.broken = not_run.cause == pb.TARGET_DOWN

    def _mark_broken(self, detail: str) -> AttemptResult:
        self._result.ran = ExecutionStatus.UNKNOWN
        self._result.cause = pb.CONNECTION_LOST
        self._result.detail = detail
        self._result.broken = True
        return self._result

    def _classify(self, error: grpc.aio.AioRpcError) -> AttemptResult:
        """Return the result of a failed call, with whether the request may have run.

        A connection was ready when the request was handed to gRPC. Once gRPC has
        assigned the request to a connection, no failure shows how far it got.
        """
        result = self._mark_broken(f"{error.code().name}: {error.details()}")
        # Only the agent's check of this gateway's certificate denies permission, and
        # it runs before anything else.
        refused = error.code() is grpc.StatusCode.PERMISSION_DENIED
        if refused or self._was_never_sent(error):
            result.ran = ExecutionStatus.NOT_EXECUTED
        return result

    def _was_never_sent(self, error: grpc.aio.AioRpcError) -> bool:
        """Return whether gRPC found no connection to send the request on.

        A connection that was just closed still shows as ready, and gRPC may detect the
        close before it accepts the call. If that counted as lost in flight, a request
        that was never sent would end as "unknown" and be tried at no other agent. gRPC
        distinguishes the two only by its message; any other message counts as
        "unknown", which is never false.
        """
        return (
            error.code() is grpc.StatusCode.UNAVAILABLE
            and self._expected_sequence == 0
            and (error.details() or "").startswith(_NO_CONNECTION)
        )
