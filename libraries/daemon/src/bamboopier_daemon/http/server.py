"""Listens with limits on the connections of one address."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Self

from .closed_connections import ClosedConnections
from .connection import RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES, HttpConnection
from .connection_table import ConnectionTable
from .limits import Places, RequestLimits

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from aiohttp import web
    from prometheus_client import Counter

# Connections that may wait to be accepted, as in a burst of callers after a restart.
BACKLOG = 1024
INTERNAL_BACKLOG = 128
BUFFER_SIZES = (
    (socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
    (socket.SO_SNDBUF, SEND_BUFFER_BYTES),
)
# For operators, probes and other processes of this system: a handful of connections.
INTERNAL_LIMITS = RequestLimits(
    head_bytes=8 * 1024,
    body_bytes=1024 * 1024,
    header_seconds=3.0,
    idle_seconds=75.0,
    write_seconds=5.0,
)
INTERNAL_PLACES = Places(
    connections=64, input_bytes=512 * 1024, output_bytes=1024 * 1024
)
# For which the remainder of a refused body is read and discarded.
LINGERING_SECONDS = 1.0
# Seconds that a running handler has before it is cancelled.
CLOSE_SECONDS = 0.2


class LimitedServer:
    """Serves an address for the processes and operators of this system.

    ``manager`` is aiohttp's server. Listens while its context is open.
    """

    def __init__(
        self,
        name: str,
        manager: web.Server,
        host: str,
        port: int,
        counter: Counter | None = None,
        places: Places = INTERNAL_PLACES,
    ) -> None:
        self._manager = manager
        self._host = host
        self._port = port
        self._table = ConnectionTable(places, ClosedConnections(name, counter))
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        self._server = await listen(
            self._host, self._port, self._make_connection, INTERNAL_BACKLOG
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._server is not None:
            self._server.close()
        await self._manager.shutdown(CLOSE_SECONDS)

    @property
    def port(self) -> int:
        """Return the port that it listens on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def _make_connection(self) -> HttpConnection:
        return HttpConnection(
            self._manager,
            INTERNAL_LIMITS,
            self._table,
            lingering_time=LINGERING_SECONDS,
        )


async def listen(
    host: str,
    port: int,
    make_connection: Callable[[], asyncio.Protocol],
    backlog: int = BACKLOG,
) -> asyncio.Server:
    """Listen on an address; raises ``OSError`` if it is in use."""
    listening = open_listening_socket(host, port)
    try:
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            make_connection, sock=listening, backlog=backlog
        )
    except BaseException:
        listening.close()
        raise


def open_listening_socket(host: str, port: int) -> socket.socket:
    """Return a socket that is bound to an address; raises ``OSError``."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit these, and the kernel doubles them. Its own
        # choice grows to megabytes.
        for option, size in BUFFER_SIZES:
            listening.setsockopt(socket.SOL_SOCKET, option, size // 2)
        listening.bind((host, port))
        listening.setblocking(False)
    except BaseException:
        listening.close()
        raise
    return listening
