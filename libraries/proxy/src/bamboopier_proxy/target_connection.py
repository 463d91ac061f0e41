"""An HTTP connection to a target, which carries one request at a time.

Guards against a late response to an earlier request (its request id differs), bytes
after a complete response (the connection is not reused), a truncated response (it never
counts as complete), a peer that stopped responding (the kernel's user timeout
closes the connection), and one that sends without end what is no body, which would fill
this process's memory (each part of a response has a limit).
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from typing import TYPE_CHECKING, cast

import httptools

from bamboopier_daemon.headers import decode_header

from .response_limits import ResponseMeter
from .target_response import BrokenResponseError, TargetResponse

if TYPE_CHECKING:
    from collections.abc import Callable


# Milliseconds for which sent bytes may stay unacknowledged, and seconds of silence
# before a keep-alive probe: a dead peer is detected within about two seconds.
USER_TIMEOUT_MS = 1500
PROBE_INTERVAL_SECONDS = 1
MAX_PROBES = 2
# Responses with another request's id that are discarded before the attempt fails.
MAX_FOREIGN_RESPONSES = 2
# Seconds for which an idle connection is kept if the target sends no Keep-Alive.
DEFAULT_IDLE_LIMIT_SECONDS = 3.0
# The target measures idleness from its last byte and closes at a full second.
IDLE_MARGIN_SECONDS = 0.8


class TargetConnection(asyncio.Protocol):
    """A connection that is idle, or carries one request and its response."""

    def __init__(self, id_header: str, read_clock: Callable[[], float]) -> None:
        self._id_header = id_header.lower()
        self._read_clock = read_clock
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[str, str]] = []
        self._pending_response: asyncio.Future[TargetResponse] | None = None
        self._response: TargetResponse | None = None
        self._request_id = ""
        self._method = ""
        self._foreign_responses = 0
        self._meter = ResponseMeter()
        self._skipping = False
        self._length_known = False
        self._protocol_violated = False
        self._closed = False
        self._keep_alive = True
        # Seconds of idleness after which the target closes it.
        self.idle_limit = DEFAULT_IDLE_LIMIT_SECONDS
        self.idle_since = 0.0
        self.served = 0

    # Interface for the pool and the exchange.

    @property
    def is_open(self) -> bool:
        """Return whether a request may be sent now."""
        return (
            not self._closed
            and not self._protocol_violated
            and self._keep_alive
            and self._pending_response is None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    async def send_request(
        self, head: bytes, body: bytes, request_id: str, method: str
    ) -> TargetResponse:
        """Send a request and return its response once its headers have arrived.

        Raises ``BrokenResponseError`` if the connection fails before that.
        """
        if self._transport is None:
            raise BrokenResponseError("not connected")
        self._request_id = request_id
        self._method = method
        self._foreign_responses = 0
        self._meter = ResponseMeter()
        self.served += 1
        self._pending_response = asyncio.get_running_loop().create_future()
        self._transport.write(head + body)
        return await self._pending_response

    def release(self) -> bool:
        """Make the connection idle after a response; False if it cannot be reused."""
        complete = self._response is not None and self._response.complete
        transport = self._transport
        unsent = transport is not None and transport.get_write_buffer_size() > 0
        self._pending_response = None
        self._response = None
        if (
            not complete
            or unsent
            or self._protocol_violated
            or not self._keep_alive
            or self._closed
        ):
            self.abort()
            return False
        self.idle_since = self._read_clock()
        return True

    def abort(self) -> None:
        """Abort the connection; the target drops the request it was working on."""
        self._closed = True
        if self._transport is None:
            return
        if self._pending_response is not None and not self._transport.is_closing():
            enable_reset_on_close(self._transport.get_extra_info("socket"))
        self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the detection of dead peers."""
        self._transport = cast("asyncio.Transport", transport)
        connection = transport.get_extra_info("socket")
        if connection is not None:
            set_dead_peer_timeouts(connection)

    def data_received(self, data: bytes) -> None:
        """Parse data; any that arrives while no response is due prevents reuse."""
        if self._pending_response is None or (
            self._response is not None and self._response.complete
        ):
            self._reject_unexpected_data()
            return
        meter = self._meter
        was_in_body, body_before = meter.in_body, meter.body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"invalid HTTP response: {error}")
            return
        meter.count_read(len(data), was_in_body=was_in_body, body_before=body_before)
        excess = meter.find_excess()
        if excess:
            self._fail(f"the response's {excess} exceeds its limit")
            self.abort()

    def eof_received(self) -> bool:
        """Handle the end of the stream from the target.

        libuv reports a reset that arrives together with the last bytes as a regular
        end. A response without a length would then count as complete; the pending error
        of the socket distinguishes the two.
        """
        socket_error = self._find_socket_error()
        unknown_length = self._response is not None and not self._length_known
        if (
            self._response is not None
            and unknown_length
            and not self._skipping
            and not socket_error
        ):
            self._response.finish()
        self._fail(socket_error or "the connection was closed")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the loss of the connection."""
        self._closed = True
        self._fail(str(exc) if exc else "the connection was closed")

    # httptools

    def on_message_begin(self) -> None:
        """Start a response; a second one after a complete one belongs to no request."""
        self._headers = []
        if self._response is not None and self._response.complete:
            self._protocol_violated = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; those that follow the body are dropped."""
        if not self._meter.count_header(len(name) + len(value)):
            return
        self._headers.append((decode_header(name), decode_header(value)))

    def on_headers_complete(self) -> None:
        """Publish the response, or skip it if it belongs to another request."""
        status = self._parser.get_status_code()
        if self._protocol_violated or status < 200:
            return
        self._meter.in_body = True
        response_request_id = self._find_header(self._id_header)
        # A success without an id could be the response to another request.
        is_foreign = (
            response_request_id != self._request_id
            if response_request_id
            else status < 300
        )
        if is_foreign:
            self._skip_response()
            return
        self._skipping = False
        self._length_known = self._is_length_known(status)
        self._keep_alive = self._parser.should_keep_alive() and self._length_known
        self._record_idle_limit()
        self._response = TargetResponse(
            status,
            tuple(self._headers),
            self._set_reading_paused,
            ends_with_connection=not self._length_known,
        )
        if self._pending_response is not None and not self._pending_response.done():
            self._pending_response.set_result(self._response)
        if self._method == "HEAD":
            self._keep_alive = False
            self._response.finish()

    def on_body(self, body: bytes) -> None:
        """Add a chunk of the body."""
        self._meter.count_body(len(body), is_foreign=self._skipping)
        if (
            self._response is not None
            and not self._skipping
            and not self._protocol_violated
        ):
            self._response.feed(body)

    def on_message_complete(self) -> None:
        """Handle the end of a response."""
        if self._skipping:
            self._meter.in_body = False
        if self._parser.get_status_code() < 200 or self._protocol_violated:
            return
        if self._skipping:
            self._skipping = False
        elif self._response is not None:
            self._response.finish()

    # Internals

    def _skip_response(self) -> None:
        self._foreign_responses += 1
        self._skipping = True
        # The target mixed up responses: no further request uses this connection.
        self._keep_alive = False
        if self._foreign_responses > MAX_FOREIGN_RESPONSES:
            self._fail("too many responses to other requests")

    def _reject_unexpected_data(self) -> None:
        self._protocol_violated = True
        if self._pending_response is None:
            self.abort()

    def _fail(self, reason: str) -> None:
        self._keep_alive = False
        if self._response is not None:
            self._response.fail(reason)
        elif self._pending_response is not None and not self._pending_response.done():
            self._pending_response.set_exception(BrokenResponseError(reason))
        if self._transport is not None and not self._transport.is_closing():
            self._transport.close()

    def _find_socket_error(self) -> str:
        """Return the socket's pending error; empty if there is none."""
        connection = self._transport and self._transport.get_extra_info("socket")
        if not connection:
            return ""
        code = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return os.strerror(code) if code else ""

    def _set_reading_paused(self, paused: bool) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _find_header(self, name: str) -> str:
        return next((v for n, v in self._headers if n.lower() == name), "")

    def _is_length_known(self, status: int) -> bool:
        if status in (204, 304):
            return True
        if self._find_header("content-length"):
            return True
        return "chunked" in self._find_header("transfer-encoding").lower()

    def _record_idle_limit(self) -> None:
        seconds = DEFAULT_IDLE_LIMIT_SECONDS
        for word in self._find_header("keep-alive").split(","):
            name, _, value = word.strip().partition("=")
            if name.lower() == "timeout" and value.isdecimal():
                seconds = max(0.0, int(value) - IDLE_MARGIN_SECONDS)
        self.idle_limit = seconds


def set_dead_peer_timeouts(connection: socket.socket) -> None:
    """Let the kernel close a connection whose peer stops acknowledging.

    Without it, a request on such a connection would wait until its deadline.
    """
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, name, value in options:
        connection.setsockopt(level, name, value)


def enable_reset_on_close(connection: socket.socket) -> None:
    """Let the kernel discard unsent bytes and reset the connection on close.

    A regular close would still deliver the request to a target that is suspended, which
    would run it seconds after its caller has disconnected. A reset discards what the
    target has not received.
    """
    linger_no_seconds = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_no_seconds)
