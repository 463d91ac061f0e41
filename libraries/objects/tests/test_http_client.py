"""Responses that arrive slowly, and responses that stall."""

from __future__ import annotations

import asyncio
import unittest

from bamboopier_objects.errors import PlatformUnavailableError
from bamboopier_objects.http_client import HttpClient

CALL_TIMEOUT_SECONDS = 0.4
PIECES = 8
PIECE = b"x" * 100
HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {PIECES * len(PIECE)}\r\n\r\n".encode()


class SlowResponseTests(unittest.IsolatedAsyncioTestCase):
    async def serve(self, pieces: int, pause: float) -> HttpClient:
        """Return a client of a server that sends ``pieces`` chunks of its response."""

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD)
            for _ in range(pieces):
                await asyncio.sleep(pause)
                writer.write(PIECE)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        return HttpClient(f"http://127.0.0.1:{port}", call_timeout=CALL_TIMEOUT_SECONDS)

    async def test_a_response_longer_than_the_timeout_arrives_complete(self) -> None:
        # Guards against a limit on the total time, which a large response on a slow
        # link exceeds at each attempt.
        async with await self.serve(PIECES, CALL_TIMEOUT_SECONDS / 2) as caller:
            answer = await caller.call("GET", "/large")
        self.assertEqual(len(answer.unwrap().body), PIECES * len(PIECE))

    async def test_a_response_that_stalls_is_abandoned(self) -> None:
        # Guards against waiting for ever on a connection without further bytes.
        async with await self.serve(PIECES // 2, 0.0) as caller:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS * 10):
                answer = await caller.call("GET", "/silent")
        self.assertIsInstance(answer.err(), PlatformUnavailableError)
        self.assertIn("400 of 800 bytes arrived", str(answer.err()))


if __name__ == "__main__":
    unittest.main()
