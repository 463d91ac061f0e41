"""A target that closes its connections without a response.

The target reads a request, runs it, and closes the connection. HTTP clients then resend
PUT, GET and DELETE by themselves. On a route that the operator declared non-idempotent
the request would run twice although the caller sent it once.
"""

from __future__ import annotations

import asyncio
import unittest

from bamboopier_agent.errors import BrokenResponseError, TargetUnreachableError
from bamboopier_agent.target import TargetClient

METHODS = ("GET", "HEAD", "PUT", "DELETE", "POST", "PATCH")
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ClosingTarget:
    """Counts requests; closes a connection after ``responses`` responses."""

    def __init__(self, responses: int) -> None:
        self._responses = responses
        self.requests = 0
        self.connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        for number in range(self._responses + 1):
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            self.requests += 1
            if number < self._responses:
                writer.write(RESPONSE)
        writer.close()


class TargetClientTests(unittest.IsolatedAsyncioTestCase):
    async def start(self, target: ClosingTarget) -> TargetClient:
        server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        client = TargetClient(f"http://127.0.0.1:{port}")
        return await self.enterAsyncContext(client)

    async def test_no_method_is_sent_twice(self) -> None:
        for method in METHODS:
            with self.subTest(method):
                target = ClosingTarget(responses=0)
                client = await self.start(target)
                with self.assertRaises(BrokenResponseError):
                    async with client.open(method, "/vans", [], b""):
                        self.fail("unexpected response")
                self.assertEqual(target.requests, 1)

    async def test_a_connection_closed_after_a_response_is_not_reused(self) -> None:
        target = ClosingTarget(responses=1)
        client = await self.start(target)
        for _ in range(2):
            async with client.open("POST", "/vans", [], b"") as response:
                self.assertEqual(await response.read(), b"ok")
        self.assertEqual((target.requests, target.connections), (2, 2))

    async def test_a_refused_connection_differs_from_a_broken_response(self) -> None:
        server = await asyncio.start_server(ClosingTarget(0).serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        async with TargetClient(f"http://127.0.0.1:{port}") as client:
            with self.assertRaises(TargetUnreachableError):
                async with client.open("POST", "/vans", [], b""):
                    self.fail("unexpected response")
