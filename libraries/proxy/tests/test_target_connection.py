"""How the request of a disconnected caller is aborted at its target."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest

from bamboopier_proxy.target_connection import TargetConnection

HEAD = b"POST /orders HTTP/1.1\r\nHost: desk\r\n\r\n"


class AbortTests(unittest.IsolatedAsyncioTestCase):
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
        self.peer.settimeout(5)

    async def test_aborting_a_request_resets_the_connection(self) -> None:
        # Guards against a target that runs a request seconds after its caller
        # disconnected: the target is suspended while the request is sent, and a regular
        # close would still deliver the request.
        sending = asyncio.create_task(
            self.connection.send_request(HEAD, b"", "id", "POST")
        )
        await asyncio.sleep(0)
        sending.cancel()
        self.connection.abort()
        await asyncio.sleep(0.05)
        with self.assertRaises(ConnectionResetError):
            while self.peer.recv(4096):
                pass

    async def test_aborting_an_idle_connection_closes_it_normally(self) -> None:
        self.connection.abort()
        await asyncio.sleep(0.05)
        self.assertEqual(self.peer.recv(4096), b"")


if __name__ == "__main__":
    unittest.main()
