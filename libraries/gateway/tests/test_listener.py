"""Tests of responses that are still being sent when the listener closes."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any

from aiohttp import web
from ports import HOST, find_port
from slow_caller import LargeResponse, check_close_waits

from bamboopier_configuration.settings import Address
from bamboopier_gateway.listener import CallerListener
from bamboopier_gateway.metrics import GatewayMetrics

# Reached only by a test that would otherwise hang.
HANG_SECONDS = 20.0


class ListenerTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_slow_caller_receives_the_rest_before_the_process_ends(
        self,
    ) -> None:
        # Guards against a response that is cut at the end of a graceful shutdown
        # although it is complete.
        response = LargeResponse()
        application = web.Application()
        application.add_routes([web.get("/", response.respond)])
        port = find_port()
        settings: Any = SimpleNamespace(
            listen=Address(HOST, port),
            max_connections=8,
            max_held_head_bytes=1024 * 1024,
            max_unread_response_bytes=1024 * 1024,
            header_timeout_seconds=HANG_SECONDS,
            idle_timeout_seconds=HANG_SECONDS,
            write_timeout_seconds=HANG_SECONDS,
        )
        listener = CallerListener(settings, application, GatewayMetrics(), None)
        async with asyncio.timeout(HANG_SECONDS), listener:
            await check_close_waits(self, listener, port, response)
