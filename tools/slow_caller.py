"""A caller of an HTTP server in the same process that reads its response late.

Small socket buffers keep most of the response in the server's process.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Protocol, Self

from aiohttp import web
from ports import HOST

if TYPE_CHECKING:
    import unittest

BUFFER_BYTES = 4096
READ_BYTES = 65_536
BODY = b"x" * 60_000
# Longer than a close that does not wait for the caller.
PAUSE_SECONDS = 1.0


class Listener(Protocol):
    """Accepts callers' connections."""

    @property
    def open_connections(self) -> int:
        """Return the number of connections that are not closed yet."""
        ...

    async def close_connections(self) -> None:
        """Return once all responses have been sent."""
        ...


class LargeResponse:
    """Responds with more than the kernel buffers."""

    def __init__(self) -> None:
        # Set once a request has been received.
        self.started = asyncio.Event()

    async def respond(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond with ``BODY``."""
        assert request.transport is not None
        connection = request.transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        self.started.set()
        return web.Response(body=BODY)


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


async def check_close_waits(
    test: unittest.TestCase, listener: Listener, port: int, response: LargeResponse
) -> None:
    """Check that a listener that closes sends the rest to a caller that reads late."""
    caller = await SlowCaller.connect(HOST, port)
    await response.started.wait()
    closing = asyncio.create_task(listener.close_connections())
    done, _ = await asyncio.wait({closing}, timeout=PAUSE_SECONDS)
    test.assertEqual(done, set())
    test.assertTrue((await caller.read()).endswith(BODY))
    await closing
    test.assertEqual(listener.open_connections, 0)
