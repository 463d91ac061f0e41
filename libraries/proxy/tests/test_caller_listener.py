"""Tests of responses that are still being sent when the listener closes."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any

from aiohttp import web
from processes import HOST, find_port
from slow_caller import SlowCaller, limit_send_buffer

from bamboopier_proxy.caller_listener import CallerListener
from bamboopier_proxy.settings import Endpoint

BODY = b"x" * 60_000
# Reached only by a test that would otherwise hang.
HANG_SECONDS = 20.0
# Longer than a close that does not wait for the caller.
PAUSE_SECONDS = 1.0


class CallerListenerTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.responding = asyncio.Event()
        self.port = find_port()
        limits: Any = SimpleNamespace(
            header_bytes=8190, header_seconds=HANG_SECONDS, idle_seconds=HANG_SECONDS
        )
        endpoint = Endpoint(HOST, self.port)
        self.listener = CallerListener(endpoint, self.respond, lambda: limits)

    async def respond(self, request: web.BaseRequest) -> web.StreamResponse:
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
