"""One HTTP connection to a target: a request at a time, and no byte of another answer.

Failures answered: a second answer that comes late where the next one is due (its id
tells), bytes after a whole answer (the connection is not used again), an answer that
breaks off (never taken for whole), a connection that went silent (the kernel's user
timeout ends it).
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from typing import TYPE_CHECKING, cast

import httptools

from .target_response import BrokenResponseError, TargetResponse

if TYPE_CHECKING:
    from collections.abc import Callable


# Milliseconds that bytes may stay unacknowledged, and the seconds of silence before a
# connection is probed: a peer that is gone shows within about two seconds.
USER_TIMEOUT_MS = 1500
PROBE_INTERVAL_SECONDS = 1
MAX_PROBES = 2
# Answers under another request's id that are read and dropped before giving up.
MAX_FOREIGN_RESPONSES = 2
# Seconds an idle connection is kept where the target does not say.
DEFAULT_IDLE_LIMIT_SECONDS = 3.0
# The target counts from its last byte and closes at a whole second.
IDLE_MARGIN_SECONDS = 0.8


class TargetConnection(asyncio.Protocol):
    """A connection that is idle, or carries one request and its answer."""

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
        self._skipping = False
        self._length_known = False
        self._protocol_violated = False
        self._closed = False
        self._keep_alive = True
        # Seconds it may stay idle before the target closes it.
        self.idle_limit = DEFAULT_IDLE_LIMIT_SECONDS
        self.idle_since = 0.0
        self.served = 0

    # What the pool and the exchange use.

    @property
    def is_open(self) -> bool:
        """Say whether a request may be sent now."""
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
        """Send a request and return its answer once status and headers are there.

        Raises ``BrokenResponseError`` when there will be none.
        """
        if self._transport is None:
            raise BrokenResponseError("not connected")
        self._request_id = request_id
        self._method = method
        self._foreign_responses = 0
        self.served += 1
        self._pending_response = asyncio.get_running_loop().create_future()
        self._transport.write(head + body)
        return await self._pending_response

    def release(self) -> bool:
        """Free the connection after a whole answer; False when it cannot be reused."""
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
        """End the connection now; a target drops what it was working on."""
        self._closed = True
        if self._transport is None:
            return
        if self._pending_response is not None and not self._transport.is_closing():
            enable_reset_on_close(self._transport.get_extra_info("socket"))
        self._transport.abort()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound how long a silent peer goes unnoticed."""
        self._transport = cast("asyncio.Transport", transport)
        connection = transport.get_extra_info("socket")
        if connection is not None:
            set_dead_peer_timeouts(connection)

    def data_received(self, data: bytes) -> None:
        """Parse; anything that comes while no answer is due spoils the connection."""
        if self._pending_response is None or (
            self._response is not None and self._response.complete
        ):
            self._reject_unexpected_data()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"no HTTP: {error}")

    def eof_received(self) -> bool:
        """Take in the target's end of the connection.

        libuv reports a reset that it finds together with the last bytes as an end in
        good order. An answer without length would pass for whole; the socket's own
        error tells the two apart.
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
        """Take in that the connection is gone."""
        self._closed = True
        self._fail(str(exc) if exc else "the connection was closed")

    # httptools

    def on_message_begin(self) -> None:
        """Begin an answer; a second one on top of a whole one belongs to nobody."""
        self._headers = []
        if self._response is not None and self._response.complete:
            self._protocol_violated = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Hand the answer on, or skip one that belongs to another request."""
        status = self._parser.get_status_code()
        if self._protocol_violated or status < 200:
            return
        response_request_id = self._find_header(self._id_header)
        # A success without an id cannot be told from another request's answer.
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
            status, tuple(self._headers), self._set_reading_paused
        )
        if self._pending_response is not None and not self._pending_response.done():
            self._pending_response.set_result(self._response)
        if self._method == "HEAD":
            self._keep_alive = False
            self._response.finish()

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        if (
            self._response is not None
            and not self._skipping
            and not self._protocol_violated
        ):
            self._response.feed(body)

    def on_message_complete(self) -> None:
        """Take in the end of an answer."""
        if self._parser.get_status_code() < 200 or self._protocol_violated:
            return
        if self._skipping:
            self._skipping = False
        elif self._response is not None:
            self._response.finish()

    # Inside

    def _skip_response(self) -> None:
        self._foreign_responses += 1
        self._skipping = True
        # Whatever the target mixed up, no further request goes this way.
        self._keep_alive = False
        if self._foreign_responses > MAX_FOREIGN_RESPONSES:
            self._fail("answers of other requests")

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
        """Return the socket's pending error; empty when there is none."""
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
    """Let the kernel end a connection whose peer is gone without a word.

    Without it a request that was sent on such a connection waits for its deadline.
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
    """Let the kernel drop what is unsent, and reset the connection, at its close.

    Closed in good order, a connection still delivers its request to a target that
    stands still: the target would run it seconds after its caller has left. A reset
    takes back what has not arrived.
    """
    linger_no_seconds = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_no_seconds)
