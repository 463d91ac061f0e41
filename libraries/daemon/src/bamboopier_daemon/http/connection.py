"""One client's connection: what it sends is cut, limited and counted."""

from __future__ import annotations

import asyncio
import socket
import time
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, cast

import structlog
from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import _ErrInfo

from .limits import Problem
from .request_framing import FramingError, RequestFraming, Stage

if TYPE_CHECKING:
    from aiohttp.http import RawRequestMessage
    from aiohttp.streams import StreamReader

    from .connection_table import ConnectionTable
    from .limits import RequestLimits

from bamboopier_decisions.connections.pace import Pace

# A refused connection stays open this long, so that its client can read the reason.
REFUSAL_SECONDS = 1.0
# Refused connections that wait for that at the same time; further ones are cut.
MAX_REFUSED = 64
KEEPALIVE_PROBES = 3
_MILLISECONDS = 1000
# Bytes that may wait behind a request in progress; then reading stops.
MAX_AHEAD_BYTES = 16 * 1024
# Bytes after which a body that the handler does not read stops being received.
READ_BUFFER_BYTES = 64 * 1024
# Bytes of a connection that the kernel receives ahead, and that it has not sent yet.
RECEIVE_BUFFER_BYTES = 64 * 1024
SEND_BUFFER_BYTES = 256 * 1024
# Memory of a parsed field besides its bytes: name and value, twice each.
FIELD_OVERHEAD_BYTES = 500
REFUSAL = b"HTTP/1.1 %d %b\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
_REFUSALS = {
    Problem.HEAD_TOO_LARGE: REFUSAL % (431, b"Request Header Fields Too Large"),
    Problem.NO_PLACE: REFUSAL % (503, b"Service Unavailable"),
    Problem.NO_MEMORY: REFUSAL % (503, b"Service Unavailable"),
}

log = structlog.get_logger()


class HttpConnection(web.RequestHandler):
    """aiohttp's connection with limits on what its client makes this process hold.

    aiohttp lets a request arrive one byte at a time for ever and so occupy a place
    (slow loris); it keeps each read of an invalid request that comes while another one
    is in progress; and it parses requests ahead of their turn. Here its parser gets one
    request at a time, and each only once its head is complete.
    """

    __slots__ = (
        "_framing",
        "_has_responded",
        "_head_cost",
        "_header_timer",
        "_is_given_up",
        "_is_handling",
        "_is_waiting_for_turn",
        "_limits",
        "_pace",
        "_payload",
        "_request_bytes",
        "_table",
        "answered",
        "input_bytes",
        "since",
    )

    def __init__(
        self,
        manager: web.Server,
        limits: RequestLimits,
        table: ConnectionTable,
        **options: Any,
    ) -> None:
        parser_limits = {
            "max_line_size": limits.head_bytes,
            "max_field_size": limits.head_bytes,
            "max_headers": limits.max_fields,
        }
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=limits.idle_seconds,
            access_log=None,  # type: ignore[arg-type]
            read_bufsize=READ_BUFFER_BYTES,
            # A compressed body is forwarded as received: its size is that on the wire,
            # and a small one cannot expand to gigabytes here.
            auto_decompress=False,
            **(parser_limits | options),
        )
        now = time.monotonic()
        self._limits = limits
        self._table = table
        self._framing = RequestFraming(limits.head_bytes, limits.body_bytes)
        self._payload: StreamReader | None = None
        self._pace = Pace(now)
        self._header_timer: asyncio.TimerHandle | None = None
        # Whether a request is in progress, until its response and body are complete.
        self._is_handling = False
        self._has_responded = False
        # Bytes received since it began.
        self._request_bytes = 0
        # Memory of its parsed head, in bytes.
        self._head_cost = 0
        self._is_waiting_for_turn = False
        # Nothing more is read.
        self._is_given_up = False
        self.since = now
        self.answered = 0
        self.input_bytes = 0

    @property
    def is_active(self) -> bool:
        """Return whether a complete request is in progress, or it is being closed."""
        return self._is_given_up or (
            self._is_handling and self._framing.stage is Stage.COMPLETE
        )

    @property
    def has_begun(self) -> bool:
        """Return whether a part of a request has arrived."""
        return self._is_handling or self._framing.has_begun

    @property
    def request_bytes(self) -> int:
        """Return the bytes that have arrived of its unfinished request."""
        return self._request_bytes if self.has_begun else 0

    def measure_pace(self, now: float) -> float:
        """Return the bytes a second that it has sent lately."""
        return self._pace.measure(now)

    def make_refusal(self, problem: Problem) -> bytes:
        """Return the response to a request that was not passed on; empty for none."""
        return _REFUSALS.get(problem, b"")

    def make_body_error(self, problem: Problem) -> Exception:
        """Return the error that a handler gets when it reads an invalid body."""
        return web.RequestPayloadError(problem.value)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve the connection, or refuse it."""
        set_dead_peer_timeout(transport, self._limits.write_seconds)
        if self._table.add(self):
            super().connection_made(transport)
            return
        self._count_closed(Problem.NO_PLACE)
        refuse_connection(
            cast("asyncio.Transport", transport), self.make_refusal(Problem.NO_PLACE)
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the header timer and give back what is held."""
        self._is_given_up = True
        self._stop_header_timer()
        self._hold(0)
        self._framing.clear()
        self._table.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Cut what was received, and pass it on."""
        if not data:
            # aiohttp continues with what its parser has kept.
            super().data_received(data)
            return
        if self._is_given_up or self._force_close:
            return
        framing = self._framing
        had_begun = self.has_begun
        framing.receive(data)
        self._pass_on()
        if framing.stage is not Stage.COMPLETE:
            self._record_progress(len(data), had_begun=had_begun)

    def _record_progress(self, size: int, *, had_begun: bool) -> None:
        """Record what was received of a request that is not complete."""
        now = time.monotonic()
        if not had_begun:
            self.since = now
            self._request_bytes = 0
        self._request_bytes += size
        self._pace.add(size, now)

    def continue_reading(self) -> None:
        """Process what was received and had to wait."""
        self._is_waiting_for_turn = False
        if not self._is_given_up and not self._force_close:
            self._pass_on()
            if self._buffer_paused:
                self._resume_reading_if_drained()

    def close_slower(self, size: int) -> bool:
        """Close an unfinished request for one of ``size`` bytes; False without one."""
        return self._table.make_room(self, size)

    def pause_writing(self) -> None:
        """Account for a response that the client does not read."""
        super().pause_writing()
        if self.transport is not None:
            size = self.transport.get_write_buffer_size() + SEND_BUFFER_BYTES
            self._table.acquire_output(self, size)

    def resume_writing(self) -> None:
        """Account for a response that was read."""
        super().resume_writing()
        self._table.release_output(self)

    def give_way(self, problem: Problem) -> None:
        """Close at once; a request that has begun did not run."""
        transport = self.transport
        self._is_given_up = True
        self._stop_header_timer()
        self._hold(0)
        self._framing.clear()
        if transport is None:
            return
        if problem is Problem.UNREAD_RESPONSE:
            transport.abort()
            return
        request = self._current_request
        is_responding = request is not None and request.writer.output_size > 0
        if self._is_handling and not is_responding and not self._has_responded:
            transport.write(self.make_refusal(problem))
        self.force_close()

    def close_when_idle(self) -> None:
        """Close if no request is in flight.

        aiohttp's own ``close`` ends the task that reads requests but leaves the
        transport open: what the caller sends afterwards is never answered.
        """
        if not self._is_handling and self._is_waiting_for_request():
            self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer invalid HTTP, which is not logged, and unhandled exceptions."""
        if request.writer.output_size > 0:
            raise ConnectionError("a response was already started")
        if isinstance(exc, ConnectionError):
            raise exc
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            log.error("request failed", path=request.path[:80], exc_info=exc)
        response = web.Response(status=status)
        response.force_close()
        return response

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Send the end of a response; the next request may begin after it."""
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            # aiohttp keeps the last response of an idle connection, and its body.
            if isinstance(resp, web.Response):
                resp.body = None
            self._has_responded = True
            self._begin_request()

    def _begin_request(self) -> None:
        """Cut the next request, once the last one and its response are complete."""
        if (
            self._is_given_up
            or not self._has_responded
            or self._framing.stage is not Stage.COMPLETE
        ):
            return
        self._is_handling = False
        self._has_responded = False
        self._payload = None
        self._head_cost = 0
        self.answered += 1
        self.since = time.monotonic()
        self._framing.begin_request()
        if self._framing.held_bytes:
            self._pass_on()
        else:
            self._hold(0)
        if self._buffer_paused:
            self._resume_reading_if_drained()

    def _pass_on(self) -> None:
        """Pass on to aiohttp what belongs to the current request."""
        try:
            while self._may_parse() and (piece := self._framing.take()):
                if self._framing.stage is not Stage.HEAD_TAKEN:
                    super().data_received(piece)
                elif self._hold_head(piece):
                    super().data_received(piece)
                    self._begin_body()
        except FramingError as error:
            self._refuse(error.problem)
            return
        if self._messages and self._framing.precedes_garbage:
            self._drop_request()
        self._update_header_timer()
        self._limit_input()
        if self._has_responded:
            self._begin_request()

    def _drop_request(self) -> None:
        """Replace a request that no handler has got by the error of what follows it.

        Its client sends something else than it means to, so none of it runs.
        """
        error = BadHttpMessage("no request follows")
        self._count_closed(Problem.INVALID_HEAD)
        self._is_given_up = True
        self._framing.clear()
        self._messages[-1] = (
            _ErrInfo(status=error.code, exc=error, message=error.message),
            EMPTY_PAYLOAD,
        )

    def _may_parse(self) -> bool:
        """Return whether the next bytes are to be parsed in this turn."""
        size = self._framing.held_bytes
        if size == 0 or self._is_given_up:
            return False
        if self._framing.stage is Stage.HEAD:
            return True
        if self._framing.stage is Stage.COMPLETE:
            return False
        if not self._is_waiting_for_turn:
            self._is_waiting_for_turn = not self._table.take_turn(self, size)
        return not self._is_waiting_for_turn

    def _hold_head(self, head: bytes) -> bool:
        """Account for a head before it is parsed; return False if it does not fit.

        Guards against many heads of short fields, which take a hundred times their
        bytes as soon as they are parsed.
        """
        self._head_cost = 2 * len(head) + FIELD_OVERHEAD_BYTES * head.count(b"\n")
        if self._hold(self._head_cost):
            return True
        self._refuse(Problem.NO_MEMORY)
        return False

    def _begin_body(self) -> None:
        """Read from the parsed head which body follows."""
        self._is_handling = True
        self._stop_header_timer()
        message = self._find_message()
        if message is None:
            # aiohttp answers it with an error, and closes.
            self._is_given_up = True
            self._framing.clear()
            return
        length = message.headers.get("Content-Length", "0")
        self._framing.begin_body(int(length), chunked=bool(message.chunked))

    def _find_message(self) -> RawRequestMessage | None:
        """Return the parsed head; None if it is invalid."""
        if not self._messages:
            self._refuse(Problem.INVALID_HEAD)
            return None
        message, self._payload = self._messages[-1]
        return cast("Any", message) if hasattr(message, "chunked") else None

    def _limit_input(self) -> None:
        """Account for bytes that wait, and read no more of them for now."""
        if self._is_given_up:
            return
        waiting = self._framing.held_bytes
        if not waiting and self.input_bytes == self._head_cost:
            return
        if self._must_wait():
            # The kernel goes on receiving until its buffer is full.
            waiting += RECEIVE_BUFFER_BYTES
        if not self._hold(self._head_cost + waiting):
            self._yield_itself()
        elif self._must_wait() and not self._buffer_paused:
            self._pause_reading_for_buffer()

    def _yield_itself(self) -> None:
        """Give up what does not fit into memory.

        A request that is complete is still answered; only what follows it is lost.
        """
        self._count_closed(Problem.NO_MEMORY)
        if self._is_handling and self._framing.stage is Stage.COMPLETE:
            self._is_given_up = True
            self._framing.clear()
            self.close()
        else:
            self.give_way(Problem.NO_MEMORY)

    def _must_wait(self) -> bool:
        """Return whether more waits than may be read ahead."""
        waiting = self._framing.held_bytes
        if self._framing.stage is Stage.COMPLETE:
            return waiting > MAX_AHEAD_BYTES
        return self._is_handling and waiting > 0

    def _resume_reading_if_drained(self) -> None:
        if not self._must_wait():
            super()._resume_reading_if_drained()

    def _hold(self, size: int) -> bool:
        """Hold ``size`` bytes of requests in all; return False if they don't fit."""
        grows_by = size - self.input_bytes
        if grows_by > 0 and not self._table.acquire_input(self, grows_by):
            return False
        if grows_by < 0:
            self._table.release_input(-grows_by)
        self.input_bytes = size
        return True

    def _refuse(self, problem: Problem) -> None:
        """End a request that exceeds a limit, or whose body is invalid."""
        self._count_closed(problem)
        self._is_given_up = True
        self._framing.clear()
        self._stop_header_timer()
        if self._is_handling and self._payload is not None:
            # The handler sends the error; nothing more is read.
            self._lingering_time = 0.0
            self._payload.set_exception(self.make_body_error(problem))
            return
        transport = self.transport
        if transport is None:
            return
        self.close()
        refuse_connection(transport, self.make_refusal(problem), self)

    def _is_waiting_for_request(self) -> bool:
        # aiohttp has no public interface for this. Its version is pinned, and a test of
        # slowly arriving headers fails when the meaning of the attribute changes.
        return self._waiter is not None and not self._waiter.done()

    def _update_header_timer(self) -> None:
        """Limit the time of a head that has begun."""
        if self._is_given_up or self._is_handling:
            return
        if self._framing.has_begun and self._header_timer is None:
            self._header_timer = self._loop.call_later(
                self._limits.header_seconds, self._close_on_header_timeout
            )

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _close_on_header_timeout(self) -> None:
        self._header_timer = None
        if not self._is_handling:
            self._count_closed(Problem.HEAD_TIMEOUT)
            self.force_close()

    def _count_closed(self, problem: Problem) -> None:
        self._table.closed.add(
            problem, held_bytes=self.input_bytes, answered=self.answered
        )


_refused_count = 0


def refuse_connection(
    transport: asyncio.Transport,
    response: bytes,
    closing: HttpConnection | None = None,
) -> None:
    """Send a response, if any, and close; its client may go on sending meanwhile.

    ``closing`` is told of the loss of a connection that was served before.
    """
    if not response or _refused_count >= MAX_REFUSED:
        transport.close()
        return
    refusal = RefusedConnection(response, closing)
    transport.set_protocol(refusal)
    refusal.connection_made(transport)


class RefusedConnection(asyncio.Protocol):
    """Sends a refusal at once, whatever the client sends, and closes."""

    def __init__(self, response: bytes, closing: HttpConnection | None = None) -> None:
        self._response = response
        self._closing = closing
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the refusal; the connection stays open for ``REFUSAL_SECONDS``.

        Closing a socket with unread bytes resets it, and the client would lose the
        refusal in transit.
        """
        global _refused_count
        _refused_count += 1
        open_transport = cast("asyncio.Transport", transport)
        open_transport.write(self._response)
        if open_transport.can_write_eof():
            open_transport.write_eof()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REFUSAL_SECONDS, open_transport.abort)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the close timer."""
        global _refused_count
        _refused_count -= 1
        if self._timer is not None:
            self._timer.cancel()
        if self._closing is not None:
            self._closing.connection_lost(exc)


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
