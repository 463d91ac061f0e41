"""Runs one attempt of a request at one target, and relays the response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err

from bamboopier_daemon.clock import read_clock
from bamboopier_daemon.headers import encode_header
from bamboopier_decisions.quarantine.crashing_parts import SURVIVAL_SECONDS
from bamboopier_decisions.routing.messages import ExecutionStatus

from .attempt_result import (
    NOT_RUN_STATUSES,
    AttemptResult,
    BufferedResponse,
    Cause,
)
from .delivery import CallerDisconnectedError
from .event_splitter import EventSplitter, EventTooLongError
from .stall_monitor import MonitoredAttempt
from .target_pool import ConnectError, TargetRefusedError
from .target_reports import record_reports
from .target_response import BrokenResponseError

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from bamboopier_decisions.forwarding.fleet import Fleet, InFlightRequest
    from bamboopier_decisions.forwarding.pause_tracker import PauseTracker

    from .crash_monitor import CrashMonitor
    from .delivery import Delivery
    from .header_codec import HeaderCodec
    from .messages import AttemptMetadata, Call, ResponseMetadata
    from .stall_monitor import StallMonitor
    from .stream_versions import StreamVersions
    from .target_pool import TargetPool
    from .target_response import TargetResponse
    from .weight_expiry_monitor import PendingRequest, WeightExpiryMonitor

# Time in which a target that ended stops listening, after its connections have closed.
SETTLE_SECONDS = 0.02
# Responses that are not streams are buffered up to this size until they are complete,
# so that a broken one becomes an error response and not an aborted connection.
MAX_BUFFERED_BYTES = 1024 * 1024


class Exchange:
    """Sends calls to targets and relays their responses."""

    def __init__(
        self,
        pool: TargetPool,
        fleet: Fleet,
        codec: HeaderCodec,
        expiry_monitor: WeightExpiryMonitor,
        stall_monitor: StallMonitor,
        stream_versions: StreamVersions,
        crash_monitor: CrashMonitor,
        pauses: PauseTracker,
    ) -> None:
        self._pool = pool
        self._fleet = fleet
        self._codec = codec
        self._expiry_monitor = expiry_monitor
        self._stall_monitor = stall_monitor
        self._stream_versions = stream_versions
        self._crash_monitor = crash_monitor
        self._pauses = pauses

    async def send(
        self,
        call: Call,
        in_flight: InFlightRequest,
        prepare: Callable[[], Result[AttemptMetadata, Cause]],
        delivery: Delivery,
        claim_move: Callable[[], bool],
    ) -> AttemptResult:
        """Send ``call`` to the target of ``in_flight`` and relay its response.

        ``prepare`` is called right before the send; it returns the metadata for the
        target, or why nothing may be sent, and may raise. ``claim_move`` returns
        whether another target may run the request if this one stalls, and reserves the
        retry. Raises ``CallerDisconnectedError`` when the caller has disconnected.
        """
        entry = in_flight.state.entry
        recently_used = not call.route.repeat.allows_rerun
        try:
            connection = await self._pool.acquire(entry, recently_used=recently_used)
        except ConnectError as error:
            return AttemptResult(
                ExecutionStatus.NOT_EXECUTED, Cause.CONNECT, str(error)
            )
        # Nothing may be awaited between these checks and the send: connecting takes up
        # to a second, or as long as this process is suspended, and checks made before
        # it may be outdated.
        try:
            if delivery.is_disconnected:
                raise CallerDisconnectedError(
                    "disconnected before the request was sent"
                )
            prepared = prepare()
        except BaseException:
            self._pool.release_unused(entry, connection)
            raise
        if isinstance(prepared, Err):
            self._pool.release_unused(entry, connection)
            return AttemptResult(ExecutionStatus.NOT_EXECUTED, prepared.err_value)
        metadata, sent_at = prepared.unwrap(), read_clock()
        is_retry, call.was_sent = call.was_sent, True
        in_flight.record_sent(sent_at)
        done = False
        attempt = MonitoredAttempt(call, in_flight, connection, delivery, claim_move)
        with (
            self._expiry_monitor.watch(call, metadata, connection) as pending,
            self._stall_monitor.watch(attempt),
        ):
            try:
                async with asyncio.timeout(call.timeout_at - sent_at):
                    result = await self._send_and_relay(
                        call, in_flight, pending, delivery
                    )
                done = True
            except TimeoutError:
                result = AttemptResult(ExecutionStatus.UNKNOWN, Cause.TIMEOUT)
            except BrokenResponseError as error:
                result = AttemptResult(
                    ExecutionStatus.UNKNOWN, Cause.BROKEN, str(error)
                )
            finally:
                in_flight.record_closed(read_clock())
                if done:
                    self._pool.release(entry, connection)
                else:
                    self._pool.discard(entry, connection)
        aborted_for = Cause.OUTDATED if pending.aborted else attempt.aborted_for
        if aborted_for is not None and result.cause is Cause.BROKEN:
            result = AttemptResult(ExecutionStatus.UNKNOWN, aborted_for)
        result.metadata, result.sent_at = metadata, sent_at
        result.is_retry = is_retry
        return result

    async def _send_and_relay(
        self,
        call: Call,
        in_flight: InFlightRequest,
        pending: PendingRequest,
        delivery: Delivery,
    ) -> AttemptResult:
        started_at = read_clock()
        metadata = pending.metadata
        request_head = self._write_head(call, metadata)
        response = await pending.connection.send_request(
            request_head, call.body, call.request_id, call.method
        )
        in_flight.record_byte(read_clock())
        response_metadata = self._codec.parse_response_headers(
            response.status, response.headers
        )
        record_reports(call, in_flight, started_at, response_metadata)
        if response_metadata.not_run or response_metadata.misdirected:
            await response.read_all(MAX_BUFFERED_BYTES)
            cause = (
                Cause.MISDIRECTED if response_metadata.misdirected else Cause.NOT_RUN
            )
            return AttemptResult(
                ExecutionStatus.NOT_EXECUTED,
                cause,
                f"status {response.status}, target {response_metadata.target}",
                response.status,
                weight_version=response_metadata.weight_version,
                wrong_target=bool(response_metadata.target)
                and response_metadata.target != metadata.target,
            )
        if not response_metadata.sealed and response.status < 500:
            detail = f"status {response.status} without a response seal"
            return AttemptResult(
                ExecutionStatus.UNKNOWN, Cause.UNSEALED, detail, response.status
            )
        if call.route.streams and response.status == 200:
            result = await self._relay_stream(
                call, in_flight, pending, response, delivery, started_at
            )
        else:
            self._expiry_monitor.record_started(pending)
            result = await self._relay_complete(
                call, in_flight, response, response_metadata, delivery, started_at
            )
        result.weight_version = response_metadata.weight_version
        return result

    async def _relay_complete(
        self,
        call: Call,
        in_flight: InFlightRequest,
        response: TargetResponse,
        response_metadata: ResponseMetadata,
        delivery: Delivery,
        started_at: float,
    ) -> AttemptResult:
        body = await response.read_all(MAX_BUFFERED_BYTES)
        await self._check_end(in_flight, response)
        if response.status in NOT_RUN_STATUSES:
            # The target may have run it: its caller would have it run again.
            detail = f"status {response.status} does not say that it was not run"
            return AttemptResult(
                ExecutionStatus.UNKNOWN, Cause.UNPROVED, detail, response.status
            )
        result = AttemptResult(ExecutionStatus.EXECUTED, status=response.status)
        result.first_byte = read_clock() - started_at
        buffered = BufferedResponse(response.status, response.headers, body)
        if response.status >= 500 or delivery.started:
            # A safe request may succeed at another target. A stream that goes on here
            # has its head already, and another one would be a part of its body.
            result.failure = buffered
            return result
        await delivery.send(buffered.status, buffered.headers, buffered.body)
        result.delivered = True
        return result

    async def _relay_stream(
        self,
        call: Call,
        in_flight: InFlightRequest,
        pending: PendingRequest,
        response: TargetResponse,
        delivery: Delivery,
        started_at: float,
    ) -> AttemptResult:
        result = AttemptResult(ExecutionStatus.EXECUTED, status=response.status)
        splitter = EventSplitter()
        try:
            while data := await response.read():
                in_flight.record_byte(read_clock())
                complete_events = splitter.feed(data)
                if not complete_events:
                    continue
                self._record_event(call, in_flight)
                if not result.first_byte:
                    result.first_byte = read_clock() - started_at
                    self._expiry_monitor.record_started(pending)
                    self._fleet.record_prefilled(read_clock(), in_flight)
                    self._stream_versions.record_event(call, in_flight.state.entry)
                if not delivery.started:
                    await delivery.start(response.status, response.headers)
                await delivery.write(complete_events)
                call.last_event = splitter.last_event
                call.last_event_at = read_clock()
            await self._check_end(in_flight, response)
        except (BrokenResponseError, EventTooLongError) as error:
            result.ran = ExecutionStatus.UNKNOWN
            result.cause = Cause.BROKEN
            result.detail = str(error)
            return result
        if splitter.incomplete:
            result.ran = ExecutionStatus.UNKNOWN
            result.cause = Cause.BROKEN
            result.detail = "the stream ended within an event"
            return result
        if not delivery.started:
            await delivery.start(response.status, response.headers)
        await delivery.finish()
        result.delivered = True
        return result

    def _record_event(self, call: Call, in_flight: InFlightRequest) -> None:
        """Record an event; the first one long after the start shows sound parts."""
        now = read_clock()
        if in_flight.first_event_at is None:
            in_flight.first_event_at = now
        has_survived = now - in_flight.first_event_at >= SURVIVAL_SECONDS
        if has_survived and not in_flight.survived:
            in_flight.survived = True
            self._crash_monitor.record_survived(call, now)

    async def _check_end(
        self, in_flight: InFlightRequest, response: TargetResponse
    ) -> None:
        """Check that a response without a length or chunks is complete.

        A target that ends closes its connections, and would complete all of these. One
        that accepts a new connection has not ended, unless it was replaced while this
        process was paused. Raises ``BrokenResponseError`` if it refuses one, or if that
        cannot be told.
        """
        if not response.ends_with_connection:
            return
        now = read_clock()
        if self._pauses.find_earliest_arrival(now) < now:
            raise BrokenResponseError("the response ended during a pause")
        await asyncio.sleep(SETTLE_SECONDS)
        try:
            await self._pool.check(in_flight.state.entry)
        except (TargetRefusedError, ConnectError) as error:
            message = f"the response ended with its connection, and then: {error}"
            raise BrokenResponseError(message) from error

    def _write_head(self, call: Call, metadata: AttemptMetadata) -> bytes:
        lines = [f"{call.method} {call.raw_path} HTTP/1.1", f"Host: {call.host}"]
        lines += [f"{name}: {value}" for name, value in call.headers]
        lines += [
            f"{name}: {value}"
            for name, value in self._codec.format_target_headers(metadata)
        ]
        if call.body or call.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            lines.append(f"Content-Length: {len(call.body)}")
        return encode_header("\r\n".join(lines) + "\r\n\r\n")
