"""Tests of responses that are still being sent when the listener closes."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any

from aiohttp import web
from processes import HOST, find_port
from slow_caller import SlowCaller, limit_send_buffer

from bamboopier_configuration.settings import Address
from bamboopier_gateway.listener import CallerListener
from bamboopier_gateway.metrics import GatewayMetrics

BODY = b"x" * 60_000
# Reached only by a test that would otherwise hang.
HANG_SECONDS = 20.0
# Longer than a close that does not wait for the caller.
PAUSE_SECONDS = 1.0


class ListenerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.responding = asyncio.Event()
        application = web.Application()
        application.add_routes([web.get("/", self.respond)])
        self.port = find_port()
        settings: Any = SimpleNamespace(
            listen=Address(HOST, self.port),
            max_connections=8,
            header_timeout_seconds=HANG_SECONDS,
            idle_timeout_seconds=HANG_SECONDS,
            write_timeout_seconds=HANG_SECONDS,
        )
        self.listener = CallerListener(settings, application, GatewayMetrics(), None)

    async def respond(self, request: web.Request) -> web.Response:
        limit_send_buffer(request)
        self.responding.set()
        return web.Response(body=BODY)

    async def test_a_slow_caller_receives_the_rest_before_the_process_ends(
        self,
    ) -> None:
        # Guards against a response that is cut at the end of a graceful shutdown
        # although it is complete.
        async with asyncio.timeout(HANG_SECONDS), self.listener:
            caller = await SlowCaller.connect(HOST, self.port)
            await self.responding.wait()
            closing = asyncio.create_task(self.listener.close_connections())
            done, _ = await asyncio.wait({closing}, timeout=PAUSE_SECONDS)
            self.assertEqual(done, set())
            self.assertTrue((await caller.read()).endswith(BODY))
            await closing
        self.assertEqual(self.listener.open_connections, 0)
