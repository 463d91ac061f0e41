"""Responses that arrive slowly, and responses that stall."""

from __future__ import annotations

import asyncio
import unittest

from bamboopier_objects.errors import PlatformUnavailableError
from bamboopier_objects.http_client import HttpClient

CALL_TIMEOUT_SECONDS = 0.4
CHUNKS = 8
CHUNK = b"x" * 100
HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {CHUNKS * len(CHUNK)}\r\n\r\n".encode()


class SlowResponseTests(unittest.IsolatedAsyncioTestCase):
    async def serve(self, chunks: int, delay: float) -> HttpClient:
        """Return a client of a server that sends so many chunks of its response."""

        async def respond(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD)
            for _ in range(chunks):
                await asyncio.sleep(delay)
                writer.write(CHUNK)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        return HttpClient(f"http://127.0.0.1:{port}", call_timeout=CALL_TIMEOUT_SECONDS)

    async def test_a_response_longer_than_the_timeout_arrives_complete(self) -> None:
        # Guards against a limit on the total time, which a large response on a slow
        # link exceeds at each attempt.
        async with await self.serve(CHUNKS, CALL_TIMEOUT_SECONDS / 2) as client:
            response = await client.call("GET", "/large")
        self.assertEqual(len(response.unwrap().body), CHUNKS * len(CHUNK))

    async def test_a_response_that_stalls_is_abandoned(self) -> None:
        # Guards against waiting for ever on a connection without further bytes.
        async with await self.serve(CHUNKS // 2, 0.0) as client:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS * 10):
                response = await client.call("GET", "/silent")
        self.assertIsInstance(response.err(), PlatformUnavailableError)
        self.assertIn("400 of 800 bytes arrived", str(response.err()))


if __name__ == "__main__":
    unittest.main()
