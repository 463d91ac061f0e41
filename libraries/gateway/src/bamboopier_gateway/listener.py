"""Listens for callers and limits their number of connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Self

from aiohttp import web

from bamboopier_daemon.http.closed_connections import ClosedConnections
from bamboopier_daemon.http.connection_table import ConnectionTable
from bamboopier_daemon.http.limits import Places, RequestLimits
from bamboopier_daemon.http.server import listen
from bamboopier_daemon.http.tls_server import TlsServer
from bamboopier_daemon.listening import convert_listen_errors

from .application import MAX_BODY_BYTES
from .connection import CallerConnection
from .error_responses import MAX_HEADER_BYTES

if TYPE_CHECKING:
    import asyncio
    import ssl
    from types import TracebackType

    from bamboopier_configuration.settings import GatewaySettings

    from .metrics import GatewayMetrics

# Longest request line and longest header.
MAX_FIELD_BYTES = 8190
MAX_FIELDS = 100
# For this time the rest of a refused body is read and discarded before the close.
LINGERING_SECONDS = 2.0


class CallerListener:
    """Listens while its context is open.

    Above ``max_connections``, the connections that bring least give way.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        application: web.Application,
        metrics: GatewayMetrics,
        tls_context: ssl.SSLContext | None,
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._tls_context = tls_context
        self._limits = RequestLimits(
            MAX_HEADER_BYTES,
            MAX_BODY_BYTES,
            settings.header_timeout_seconds,
            settings.idle_timeout_seconds,
            settings.write_timeout_seconds,
        )
        places = Places(
            settings.max_connections,
            settings.max_held_head_bytes,
            settings.max_unread_response_bytes,
        )
        closed = ClosedConnections("callers", metrics.closed_connections)
        self._table = ConnectionTable(places, closed)
        metrics.connections.set_function(lambda: self._table.count)
        self._server: asyncio.Server | TlsServer | None = None
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=1.0,
        )

    async def __aenter__(self) -> Self:
        await self._runner.setup()
        with convert_listen_errors("listen", self._settings.listen):
            self._server = await self._listen()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stop_listening()

    @property
    def open_connections(self) -> int:
        """Return the number of connections that are not closed yet."""
        return self._table.count

    async def close_connections(self) -> None:
        """Stop listening, and return once all responses have been sent.

        A process that ended earlier would cut the last part of a response whose caller
        reads it slowly.
        """
        await self._stop_listening()
        await self._table.wait_until_all_closed()

    async def _stop_listening(self) -> None:
        """Refuse new connections and close the open ones."""
        if self._server is not None:
            self._server.close()
        await self._runner.cleanup()

    async def _listen(self) -> asyncio.Server | TlsServer:
        address = self._settings.listen
        if self._tls_context is None:
            return await listen(address.host, address.port, self._make_connection)
        return TlsServer(
            address.host,
            address.port,
            self._tls_context,
            self._settings.header_timeout_seconds,
            self._table,
            self._make_connection,
        )

    def _make_connection(self) -> CallerConnection:
        server = self._runner.server
        if server is None:
            raise RuntimeError("the listener is not open")
        return CallerConnection(
            server,
            self._limits,
            self._table,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            max_headers=MAX_FIELDS,
            lingering_time=LINGERING_SECONDS,
        )
