"""Targets that send bytes which are no answer, until their connection is closed."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest

from bamboopier_proxy.event_splitter import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLongError,
)
from bamboopier_proxy.target_connection import TargetConnection
from bamboopier_proxy.target_response import BrokenResponseError, TargetResponse

HEAD = b"POST /orders HTTP/1.1\r\nHost: desk\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\nRequest-Id: id\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
FOREIGN = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECE = b"x" * 16384
# What a target sends once, and then again and again.
IN_HEAD = {
    "header lines": (OK, b"A: " + b"b" * 60 + b"\r\n"),
    "one header line": (OK + b"A: ", PIECE),
    "interim responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "response to another request": (FOREIGN, b"4000\r\n" + PIECE + b"\r\n"),
}
IN_BODY = {
    "trailers": (CHUNKED + b"2\r\nok\r\n0\r\n", b"A: " + b"b" * 60 + b"\r\n"),
    "chunk extension": (CHUNKED + b"2;", PIECE),
    "very small chunks with extensions": (CHUNKED, b"1;" + b"e" * 60 + b"\r\nx\r\n"),
}
# Far above all limits, and far below what fills a process.
MAX_SENT_BYTES = 8_000_000
TIMEOUT_SECONDS = 5.0


class EndlessResponseTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        host, port = self.listener.getsockname()
        loop = asyncio.get_running_loop()
        _, self.connection = await loop.create_connection(
            lambda: TargetConnection("Request-Id", time.monotonic), host, port
        )
        self.peer, _ = self.listener.accept()
        self.addCleanup(self.peer.close)
        self.peer.setblocking(False)

    async def send_endlessly(self, first: bytes, then: bytes) -> int:
        """Send until the connection is closed, or far too much was accepted."""
        loop = asyncio.get_running_loop()
        sent = 0
        repeated = then * max(1, 16384 // len(then))
        try:
            await loop.sock_sendall(self.peer, first)
            while sent < MAX_SENT_BYTES:
                await loop.sock_sendall(self.peer, repeated)
                sent += len(repeated)
        except OSError:
            pass
        return sent

    async def receive(self) -> TargetResponse:
        return await self.connection.send_request(HEAD, b"", "id", "POST")

    async def check(self, first: bytes, then: bytes, *, in_body: bool) -> None:
        async def read() -> None:
            response = await self.receive()
            if in_body:
                while await response.read():
                    pass

        sending = asyncio.create_task(self.send_endlessly(first, then))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            with self.assertRaises(BrokenResponseError):
                await read()
            sent = await sending
        self.assertLess(sent, MAX_SENT_BYTES)
        self.assertFalse(self.connection.is_open)
        self.assertLess(len(self.connection._headers), 1000)

    async def test_a_head_without_end_closes_the_connection(self) -> None:
        """Guards against a target that fills a gateway's memory before a response."""
        for name, (first, then) in IN_HEAD.items():
            with self.subTest(name):
                await self.asyncSetUp()
                await self.check(first, then, in_body=False)

    async def test_framing_without_end_closes_the_connection(self) -> None:
        """Guards against a target that fills a gateway's memory within a response."""
        for name, (first, then) in IN_BODY.items():
            with self.subTest(name):
                await self.asyncSetUp()
                await self.check(first, then, in_body=True)

    async def test_many_small_chunks_are_a_proper_body(self) -> None:
        """Guards against streams of small events that are taken for framing."""
        body = b"1\r\nx\r\n" * 200_000 + b"0\r\n\r\n"
        loop = asyncio.get_running_loop()
        sending = asyncio.create_task(loop.sock_sendall(self.peer, CHUNKED + body))
        response = await self.receive()
        self.assertEqual(len(await response.read_all(1_000_000)), 200_000)
        await sending
        self.assertTrue(self.connection.release())


class EndlessEventTests(unittest.TestCase):
    def test_an_event_without_end_is_refused(self) -> None:
        """Guards against a target whose stream never completes an event."""
        splitter = EventSplitter()
        with self.assertRaises(EventTooLongError):
            for _ in range(2 * MAX_EVENT_BYTES // len(PIECE)):
                splitter.feed(PIECE)

    def test_many_events_are_no_long_event(self) -> None:
        splitter = EventSplitter()
        event = b"data: " + b"x" * 1000 + b"\n\n"
        passed = sum(len(splitter.feed(event * 50)) for _ in range(20))
        self.assertEqual(passed, 20 * 50 * len(event))


if __name__ == "__main__":
    unittest.main()
