"""Listens for callers and limits their number of connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

from aiohttp import web

from bamboopier_daemon.listening import convert_listen_errors

from .connection import CallerConnection, OpenConnections

if TYPE_CHECKING:
    import ssl
    from types import TracebackType

    from bamboopier_configuration.settings import GatewaySettings

    from .metrics import GatewayMetrics

# Longest request line and longest header.
MAX_FIELD_BYTES = 8190
MAX_HEADERS = 100
# For this time the rest of a refused body is read and discarded before the close.
LINGERING_SECONDS = 2.0
BACKLOG = 1024


class CallerListener:
    """Listens while its context is open; refuses above ``max_connections``."""

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
        self._connections = OpenConnections(settings.max_connections)
        self._server: asyncio.Server | None = None
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=1.0,
        )

    async def __aenter__(self) -> Self:
        await self._runner.setup()
        listen = self._settings.listen
        loop = asyncio.get_running_loop()
        with convert_listen_errors("listen", listen):
            self._server = await loop.create_server(
                self._make_connection,
                listen.host,
                listen.port,
                ssl=self._tls_context,
                ssl_handshake_timeout=self._get_handshake_timeout(),
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

    @property
    def open_connections(self) -> int:
        """Return the number of connections that are not closed yet."""
        return self._connections.count

    async def close_connections(self) -> None:
        """Stop listening, and return once all responses have been sent.

        A process that ended earlier would cut the last part of a response whose caller
        reads it slowly.
        """
        await self._stop_listening()
        await self._connections.wait_until_all_closed()

    def add(self) -> bool:
        """Count an opened connection; return False when there are too many."""
        if not self._connections.add():
            self._metrics.refused_connections.inc()
            return False
        self._metrics.connections.set(self._connections.count)
        return True

    def remove(self) -> None:
        """Count a closed connection."""
        self._connections.remove()
        self._metrics.connections.set(self._connections.count)

    async def _stop_listening(self) -> None:
        """Refuse new connections and close the open ones."""
        if self._server is not None:
            self._server.close()
        await self._runner.cleanup()

    def _get_handshake_timeout(self) -> float | None:
        if self._tls_context is None:
            return None
        return self._settings.header_timeout_seconds

    def _make_connection(self) -> asyncio.Protocol:
        server = self._runner.server
        if server is None:
            raise RuntimeError("the listener is not open")
        return CallerConnection(
            server,
            self._settings,
            self,
            access_log=None,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            max_headers=MAX_HEADERS,
            lingering_time=LINGERING_SECONDS,
            # A compressed body is forwarded as received: its size is that on the wire,
            # and a small one cannot expand to gigabytes here.
            auto_decompress=False,
        )
