"""Responses that arrive slowly, and responses that stall."""

from __future__ import annotations

import asyncio
import time
import unittest

from bamboopier_objects.errors import NotConnectedError, PlatformUnavailableError
from bamboopier_objects.http_client import HttpClient

CALL_TIMEOUT_SECONDS = 0.4
# Seconds after which a read is made again.
REPEAT_SECONDS = 0.1
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


class SilentConnectionTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.connections = 0
        self.silent_connections = 0
        # Whether the silent ones are closed instead.
        self.closes_silent = False
        # The next responses that end within their body.
        self.breaks_off = 0
        # Numbers of the connections on which calls were answered.
        self.answered_by: list[int] = []
        server = await asyncio.start_server(self.respond, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.client = HttpClient(
            f"http://127.0.0.1:{port}", call_timeout=CALL_TIMEOUT_SECONDS
        )

    async def respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond on all connections but the first ``silent_connections``."""
        self.connections += 1
        number = self.connections
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0.05)
                if number <= self.silent_connections and self.closes_silent:
                    break
                if self.breaks_off:
                    self.breaks_off -= 1
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
                    break
                if number > self.silent_connections:
                    self.answered_by.append(number)
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def test_only_one_call_times_out_when_connections_go_silent(self) -> None:
        # Guards against calls that each time out on another silent connection.
        async with self.client as client:
            opened = await asyncio.gather(*(client.call("GET", "/") for _ in range(4)))
            self.assertTrue(all(r.is_ok() for r in opened))
            self.silent_connections = self.connections
            self.assertIsInstance(
                (await client.call("GET", "/")).err(), PlatformUnavailableError
            )
            self.assertTrue((await client.call("GET", "/")).is_ok())

    async def open_and_silence(self, count: int) -> None:
        """Open connections, and let those that are open respond no more."""
        calls = (self.client.call("GET", "/") for _ in range(count))
        opened = await asyncio.gather(*calls)
        self.assertTrue(all(r.is_ok() for r in opened))
        self.silent_connections = self.connections

    async def test_a_read_gets_a_response_when_all_connections_are_silent(self) -> None:
        """Guards against a read that times out first, with what it would tell."""
        async with self.client:
            await self.open_and_silence(3)
            started = time.monotonic()
            response = await self.client.read_quickly("/", REPEAT_SECONDS)
            self.assertLess(time.monotonic() - started, CALL_TIMEOUT_SECONDS)
            self.assertTrue(response.is_ok())
            # The next calls use the new connection.
            self.assertTrue((await self.client.call("GET", "/")).is_ok())
            self.assertEqual(self.connections, 4)

    async def test_a_read_on_a_closed_connection_is_made_again_at_once(self) -> None:
        """Guards against connections that the other side ends, as an outage would."""
        async with self.client:
            await self.open_and_silence(1)
            self.closes_silent = True
            started = time.monotonic()
            response = await self.client.read_quickly("/", 10.0)
            self.assertLess(time.monotonic() - started, CALL_TIMEOUT_SECONDS)
            self.assertTrue(response.is_ok())

    async def test_a_response_that_breaks_off_is_no_response(self) -> None:
        """Guards against a broken body that ends a read which another call serves."""
        async with self.client:
            self.assertTrue((await self.client.call("GET", "/")).is_ok())
            self.breaks_off = 1
            response = await self.client.read_quickly("/", REPEAT_SECONDS)
            self.assertEqual(response.unwrap().body, b"ok")

    async def test_a_slow_response_to_the_first_of_two_calls_is_taken(self) -> None:
        """Guards against a slow store that each process connects to again and again."""
        async with self.client:
            self.assertTrue((await self.client.call("GET", "/")).is_ok())
            # Responses take 0.05 s, here and on new connections.
            response = await self.client.read_quickly("/", 0.03)
            self.assertTrue(response.is_ok())
            self.assertTrue((await self.client.call("GET", "/")).is_ok())
            self.assertEqual(self.connections, 2)
            self.assertEqual(self.answered_by[-1], 1)

    async def test_a_read_without_any_response_fails_in_time(self) -> None:
        async with self.client:
            await self.open_and_silence(1)
            self.silent_connections = 1000
            started = time.monotonic()
            response = await self.client.read_quickly("/", REPEAT_SECONDS)
            self.assertIsInstance(response.err(), PlatformUnavailableError)
            self.assertLess(time.monotonic() - started, 2 * CALL_TIMEOUT_SECONDS)

    async def test_a_read_that_cannot_connect_is_not_made_again(self) -> None:
        async with HttpClient("http://127.0.0.1:1", call_timeout=5.0) as client:
            response = await client.read_quickly("/", 5.0)
        self.assertIsInstance(response.err(), NotConnectedError)

    async def test_a_timeout_does_not_end_the_calls_in_flight(self) -> None:
        # Guards against a write whose outcome gets unknown because another call on
        # another connection timed out.
        async with self.client as client:
            self.silent_connections = 1
            silent = asyncio.create_task(client.call("GET", "/"))
            await asyncio.sleep(CALL_TIMEOUT_SECONDS - 0.03)
            sound = await client.call("PUT", "/", b"x")
            self.assertTrue((await silent).is_err())
            self.assertTrue(sound.is_ok())
            self.assertTrue((await client.call("GET", "/")).is_ok())
            self.assertEqual(self.connections, 3)


if __name__ == "__main__":
    unittest.main()
