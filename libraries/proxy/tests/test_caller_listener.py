"""Tests of responses that are still being sent when the listener closes."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any

from ports import HOST, find_port
from prometheus_client import CollectorRegistry
from slow_caller import LargeResponse, check_close_waits

from bamboopier_daemon.http.closed_connections import make_closed_counter
from bamboopier_daemon.http.limits import Places
from bamboopier_proxy.caller_listener import CallerListener
from bamboopier_proxy.settings import Endpoint

# Reached only by a test that would otherwise hang.
HANG_SECONDS = 20.0


class CallerListenerTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_slow_caller_receives_the_rest_before_the_process_ends(
        self,
    ) -> None:
        # Guards against a response that is cut at the end of a graceful shutdown
        # although it is complete.
        response = LargeResponse()
        port = find_port()
        limits: Any = SimpleNamespace(
            header_bytes=8190,
            body_bytes=8190,
            header_seconds=HANG_SECONDS,
            idle_seconds=HANG_SECONDS,
        )
        endpoint = Endpoint(HOST, port)
        places = Places(8, 1024 * 1024, 1024 * 1024)
        closed = make_closed_counter(CollectorRegistry())
        listener = CallerListener(
            endpoint, places, response.respond, lambda: limits, closed
        )
        async with asyncio.timeout(HANG_SECONDS), listener:
            await check_close_waits(self, listener, port, response)
