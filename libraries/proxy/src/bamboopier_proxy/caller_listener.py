"""Accepts callers' connections within the limits of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, Self

from aiohttp import web

from bamboopier_daemon.http.closed_connections import ClosedConnections
from bamboopier_daemon.http.connection_table import ConnectionTable
from bamboopier_daemon.http.limits import Places, RequestLimits
from bamboopier_daemon.http.server import (
    BACKLOG,
    CLOSE_SECONDS,
    LimitedServer,
    listen,
)
from bamboopier_gateway.connection import CallerConnection

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable
    from types import TracebackType

    from prometheus_client import Counter

    from bamboopier_decisions.forwarding.specs import CallerLimits

    from .settings import Endpoint, ProxySettings

    Handle = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Descriptors for files, of a process's limit; the others are shared by all sockets.
FILE_DESCRIPTORS = 200
# Shares of the sockets for callers' connections, and for those that are accepted in one
# iteration of the event loop before any is refused; the others are for targets and
# internal messages.
SOCKET_SHARE = 0.5
BACKLOG_SHARE = 0.25
# Shares of the process's memory: for open connections, of CONNECTION_BYTES each, for
# heads and what waits to be parsed, and for responses that callers do not read.
CONNECTION_SHARE = 0.12
INPUT_SHARE = 0.06
OUTPUT_SHARE = 0.06
# Memory of an open connection that has sent nothing.
CONNECTION_BYTES = 8000
# Seconds for which a peer may leave sent bytes unacknowledged.
WRITE_STALL_SECONDS = 5.0
# Seconds for which the remainder of a refused body is read and discarded.
LINGERING_SECONDS = 1.0


def make_limits(limits: CallerLimits) -> RequestLimits:
    """Return the limits of a connection."""
    return RequestLimits(
        limits.header_bytes,
        limits.body_bytes,
        limits.header_seconds,
        limits.idle_seconds,
        WRITE_STALL_SECONDS,
    )


def make_places(settings: ProxySettings) -> Places:
    """Return what all callers together may hold of a process."""
    sockets = settings.max_descriptors - FILE_DESCRIPTORS
    memory = settings.memory_bytes
    return Places(
        min(
            int(sockets * SOCKET_SHARE),
            int(memory * CONNECTION_SHARE / CONNECTION_BYTES),
        ),
        int(memory * INPUT_SHARE),
        int(memory * OUTPUT_SHARE),
    )


def find_backlog(settings: ProxySettings) -> int:
    """Return how many connections may wait to be accepted."""
    sockets = settings.max_descriptors - FILE_DESCRIPTORS
    return min(BACKLOG, int(sockets * BACKLOG_SHARE))


class CallerListener:
    """Listens for callers while its context is open."""

    def __init__(
        self,
        address: Endpoint,
        places: Places,
        handle: Handle,
        read_limits: Callable[[], CallerLimits],
        closed_counter: Counter,
        backlog: int = BACKLOG,
    ) -> None:
        self._address = address
        self._backlog = backlog
        self._read_limits = read_limits
        self._server: asyncio.Server | None = None
        self._manager = web.Server(handle, handler_cancellation=True)
        closed = ClosedConnections("callers", closed_counter)
        self._table = ConnectionTable(places, closed)

    async def __aenter__(self) -> Self:
        self._server = await listen(
            self._address.host,
            self._address.port,
            self._make_connection,
            self._backlog,
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stop_listening()

    async def close_connections(self) -> None:
        """Stop listening, and return once all responses have been sent.

        A process that ended earlier would cut the last part of a response whose caller
        reads it slowly.
        """
        await self._stop_listening()
        await self._table.wait_until_all_closed()

    def close_when_idle(self) -> None:
        """Close idle connections; the others close after their current request."""
        for connection in self._manager.connections:
            if isinstance(connection, CallerConnection):
                connection.close_when_idle()

    @property
    def open_connections(self) -> int:
        """Return the number of connections that are not closed yet."""
        return self._table.count

    async def _stop_listening(self) -> None:
        """Refuse new connections and close the open ones."""
        if self._server is not None:
            self._server.close()
        await self._manager.shutdown(CLOSE_SECONDS)

    def _make_connection(self) -> asyncio.Protocol:
        return CallerConnection(
            self._manager,
            make_limits(self._read_limits()),
            self._table,
            lingering_time=LINGERING_SECONDS,
        )


def serve_readiness(
    address: Endpoint, is_ready: Callable[[], bool], closed_counter: Counter
) -> LimitedServer:
    """Return a server that responds with 200 while ``is_ready``, else with 503."""

    async def respond(_: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if is_ready() else 503)

    return LimitedServer(
        "readiness",
        web.Server(respond, access_log=None),
        address.host,
        address.port,
        closed_counter,
    )
