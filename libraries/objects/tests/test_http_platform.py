"""A platform that closes the connection after a change took effect.

Guards against an HTTP client that repeats the PUT by itself: the second one ends in a
conflict with the first, which means "certainly without effect" to the caller.
"""

from __future__ import annotations

import asyncio
import unittest

from bamboopier_objects.errors import PlatformOutcomeUnknownError
from bamboopier_objects.http_platform import HttpPlatform

CONFLICT = b"HTTP/1.1 412 Conflict\r\nObject-Version: 1\r\nContent-Length: 0\r\n\r\n"


class LostResponseTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_change_whose_response_is_lost_is_sent_once(self) -> None:
        requests: list[bytes] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            requests.append(await reader.readuntil(b"value"))
            if len(requests) > 1:
                writer.write(CONFLICT)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        async with HttpPlatform(f"http://127.0.0.1:{port}") as platform:
            response = await platform.write("claims/1", b"value", 0)
        self.assertIsInstance(response.err(), PlatformOutcomeUnknownError)
        self.assertEqual(len(requests), 1)
