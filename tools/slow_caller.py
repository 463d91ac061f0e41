"""A caller of an HTTP server in the same process that reads its response late.

Small socket buffers keep most of the response in the server's process.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    from aiohttp import web

BUFFER_BYTES = 4096
READ_BYTES = 65_536


def limit_send_buffer(request: web.BaseRequest) -> None:
    """Let the kernel buffer little of the response to ``request``."""
    assert request.transport is not None
    connection = request.transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)


class SlowCaller:
    """A connection with one request, whose response is read on demand."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection

    @classmethod
    async def connect(cls, host: str, port: int) -> Self:
        """Connect and send a request."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (host, port))
        await loop.sock_sendall(connection, b"GET / HTTP/1.1\r\nHost: vans\r\n\r\n")
        return cls(connection)

    async def read(self) -> bytes:
        """Return all that the server sends until it closes the connection."""
        loop = asyncio.get_running_loop()
        received = b""
        while data := await loop.sock_recv(self._connection, READ_BYTES):
            received += data
        self._connection.close()
        return received
