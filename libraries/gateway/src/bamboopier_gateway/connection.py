"""Limits one caller's connection in time and rejects invalid HTTP with typed errors."""

from __future__ import annotations

import asyncio
import socket
import uuid
from typing import Any, Protocol, cast

import structlog
from aiohttp import web
from aiohttp.http_exceptions import LineTooLong

from .errors import CallerError, ErrorCode

# A refused connection stays open this long, so that its caller can read the reason.
REFUSAL_SECONDS = 1.0
KEEPALIVE_PROBES = 3
_MILLISECONDS = 1000

log = structlog.get_logger()


class ConnectionLimits(Protocol):
    """The time limits of one caller's connection, in seconds."""

    @property
    def header_timeout_seconds(self) -> float:
        """Return the time from a request's first byte to its last header."""
        ...

    @property
    def idle_timeout_seconds(self) -> float:
        """Return how long a connection without a request stays open."""
        ...

    @property
    def write_timeout_seconds(self) -> float:
        """Return how long a peer may accept no byte."""
        ...


class ConnectionCounter(Protocol):
    """Counts open connections."""

    def add(self) -> bool:
        """Count an opened connection; return False when there are too many."""
        ...

    def remove(self) -> None:
        """Count a closed connection."""
        ...


class OpenConnections:
    """Counts open connections up to a limit."""

    __slots__ = ("_all_closed", "_limit", "count")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._all_closed = asyncio.Event()
        self._all_closed.set()
        self.count = 0

    def add(self) -> bool:
        """Count an opened connection; return False when there are too many."""
        if self.count >= self._limit:
            return False
        self.count += 1
        self._all_closed.clear()
        return True

    def remove(self) -> None:
        """Count a closed connection."""
        self.count -= 1
        if self.count == 0:
            self._all_closed.set()

    async def wait_until_all_closed(self) -> None:
        """Return once no connection is open.

        A connection that is being closed counts until the kernel has accepted all bytes
        written to it. It delivers them after the process has ended, too.
        """
        await self._all_closed.wait()


class CallerConnection(web.RequestHandler):
    """aiohttp's connection with this gateway's limits.

    aiohttp closes idle connections, but lets a request arrive one byte at a time for
    ever and so occupy one of ``max_connections`` (slow loris). Here a request has
    ``header_timeout_seconds`` from its first byte to its last header.
    """

    __slots__ = ("_count", "_header_timeout", "_header_timer", "_write_timeout")

    def __init__(
        self,
        manager: web.Server,
        settings: ConnectionLimits,
        count: ConnectionCounter,
        **options: Any,
    ) -> None:
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=settings.idle_timeout_seconds,
            **options,
        )
        self._count = count
        self._header_timeout = settings.header_timeout_seconds
        self._write_timeout = settings.write_timeout_seconds
        self._header_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve the connection, or refuse it."""
        set_dead_peer_timeout(transport, self._write_timeout)
        if self._count.add():
            super().connection_made(transport)
            return
        refusal = RefusedConnection()
        cast("asyncio.Transport", transport).set_protocol(refusal)
        refusal.connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the header timer and count the connection as closed."""
        self._stop_header_timer()
        self._count.remove()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Process received bytes; the first of a request starts the header timer."""
        was_waiting = self._is_waiting_for_request()
        super().data_received(data)
        if not self._is_waiting_for_request():
            self._stop_header_timer()
        elif was_waiting and data and self._header_timer is None:
            loop = asyncio.get_running_loop()
            self._header_timer = loop.call_later(
                self._header_timeout, self._close_on_header_timeout
            )

    def close_when_idle(self) -> None:
        """Close if no request is in flight.

        aiohttp's own ``close`` ends the task that reads requests but leaves the
        transport open: what the caller sends afterwards is never answered.
        """
        if self._is_waiting_for_request():
            self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer invalid HTTP and unhandled exceptions with a typed error."""
        request_id = uuid.uuid4().hex
        if request.writer.output_size > 0:
            raise ConnectionError("a response was already started")
        if isinstance(exc, ConnectionError):
            # The caller has disconnected, which the handler has logged: nobody reads a
            # response, and a logged error would look like a failure of this process.
            raise exc
        if isinstance(exc, LineTooLong):
            error = CallerError(ErrorCode.HEADERS_TOO_LARGE, "a header is too long")
        elif status == ErrorCode.BAD_REQUEST.status:
            error = CallerError(ErrorCode.BAD_REQUEST, "this is not valid HTTP")
        else:
            log.error("request failed", request_id=request_id, exc_info=exc)
            error = CallerError(ErrorCode.INTERNAL, "internal error")
        response = error.make_response(request_id)
        response.force_close()
        return response

    def _is_waiting_for_request(self) -> bool:
        # aiohttp has no public interface for this. Its version is pinned, and a test of
        # slowly arriving headers fails when the meaning of the attribute changes.
        return self._waiter is not None and not self._waiter.done()

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _close_on_header_timeout(self) -> None:
        self._header_timer = None
        if self._is_waiting_for_request():
            log.info("connection closed", reason="headers-timeout")
            self.force_close()


class RefusedConnection(asyncio.Protocol):
    """Refuses a connection above the limit at once, whatever it sends, and closes."""

    def __init__(self) -> None:
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the refusal; reading continues for ``REFUSAL_SECONDS``.

        Closing a socket with unread bytes resets it, and the caller would lose the
        refusal in transit.
        """
        open_transport = cast("asyncio.Transport", transport)
        error = CallerError(
            ErrorCode.TOO_MANY_CONNECTIONS,
            "this gateway has its largest number of connections",
            retry_after=REFUSAL_SECONDS,
        )
        open_transport.write(error.make_raw_response(uuid.uuid4().hex))
        if open_transport.can_write_eof():
            open_transport.write_eof()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REFUSAL_SECONDS, open_transport.abort)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the close timer."""
        if self._timer is not None:
            self._timer.cancel()


def set_dead_peer_timeout(transport: asyncio.BaseTransport, seconds: float) -> None:
    """Let the kernel close a connection whose peer is gone or acknowledges nothing.

    Without it, a caller that disappears without closing, or never reads the last bytes
    of its response, keeps its connection for hours: nothing remains to be written, so
    no timeout of this process applies. The user timeout covers bytes that are not
    acknowledged, the keep-alive probes cover a silent peer.
    """
    connection = transport.get_extra_info("socket")
    if connection is None:
        return
    limit = max(1, int(seconds))
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, limit),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, max(1, limit // KEEPALIVE_PROBES)),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * _MILLISECONDS)),
    )
    try:
        for level, name, value in options:
            connection.setsockopt(level, name, value)
    except OSError as error:
        # The caller has closed it already, which the connection's loss tells later. An
        # exception here would skip its start, but not its end, and be counted wrongly.
        log.info("connection closed", reason=error.strerror)
