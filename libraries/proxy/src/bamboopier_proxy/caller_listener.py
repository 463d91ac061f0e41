"""Accepts callers' connections within the limits of the configuration."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

import structlog
from aiohttp import web

from bamboopier_gateway.connection import CallerConnection, OpenConnections

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from types import TracebackType

    from bamboopier_decisions.forwarding.specs import CallerLimits

    from .settings import Endpoint

    Handle = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Connections that may wait to be accepted, as in a burst of callers after a restart.
BACKLOG = 1024
# Open connections: the smallest machine has 4,100 file descriptors, which are shared
# with connections to targets and internal ones.
MAX_CONNECTIONS = 2800
# Seconds for which a peer may leave sent bytes unacknowledged.
WRITE_STALL_SECONDS = 5.0
# Seconds for which the remainder of a refused body is read and discarded.
LINGERING_SECONDS = 1.0
MAX_HEADERS = 100
# Seconds that a running handler has before it is cancelled.
CLOSE_SECONDS = 0.2

log = structlog.get_logger()


class _Limits:
    """Adapts ``CallerLimits`` to the attributes that ``CallerConnection`` reads."""

    __slots__ = ("header_timeout_seconds", "idle_timeout_seconds")
    write_timeout_seconds = WRITE_STALL_SECONDS

    def __init__(self, limits: CallerLimits) -> None:
        self.header_timeout_seconds = limits.header_seconds
        self.idle_timeout_seconds = limits.idle_seconds


class CallerListener:
    """Listens for callers while its context is open."""

    def __init__(
        self,
        listen: Endpoint,
        handle: Handle,
        read_limits: Callable[[], CallerLimits],
    ) -> None:
        self._listen = listen
        self._read_limits = read_limits
        self._server: asyncio.Server | None = None
        self._manager = web.Server(handle, handler_cancellation=True)
        self._connections = OpenConnections(MAX_CONNECTIONS)

    async def __aenter__(self) -> Self:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection,
            self._listen.host,
            self._listen.port,
            backlog=BACKLOG,
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
        await self._connections.wait_until_all_closed()

    def close_when_idle(self) -> None:
        """Close idle connections; the others close after their current request."""
        for connection in self._manager.connections:
            if isinstance(connection, CallerConnection):
                connection.close_when_idle()

    def add(self) -> bool:
        """Count an opened connection; False when ``MAX_CONNECTIONS`` is reached."""
        if not self._connections.add():
            log.warning("connection refused", open=self.open_connections)
            return False
        return True

    def remove(self) -> None:
        """Count a closed connection."""
        self._connections.remove()

    @property
    def open_connections(self) -> int:
        """Return the number of connections that are not closed yet."""
        return self._connections.count

    async def _stop_listening(self) -> None:
        """Refuse new connections and close the open ones."""
        if self._server is not None:
            self._server.close()
        await self._manager.shutdown(CLOSE_SECONDS)

    def _make_connection(self) -> asyncio.Protocol:
        limits = self._read_limits()
        return CallerConnection(
            self._manager,
            _Limits(limits),
            self,
            access_log=None,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            max_headers=MAX_HEADERS,
            lingering_time=LINGERING_SECONDS,
            auto_decompress=False,
        )


async def serve_readiness(
    listen: Endpoint, is_ready: Callable[[], bool]
) -> asyncio.Server:
    """Respond to every request with 200 while ``is_ready``, else with 503."""

    async def respond(_: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if is_ready() else 503)

    manager = web.Server(respond, access_log=None)
    loop = asyncio.get_running_loop()
    return await loop.create_server(manager, listen.host, listen.port)
