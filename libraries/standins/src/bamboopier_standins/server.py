"""Runs one stand-in as its own process until SIGTERM."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HOST = "127.0.0.1"
MAX_BODY_BYTES = 64 * 1024 * 1024


def run(
    make_application: Callable[[], Awaitable[web.Application]],
    port: int,
    stop_seconds: float = 0.1,
) -> None:
    """Serve the application on a loopback port; print the port once it listens.

    Requests that are running at the stop have ``stop_seconds`` to finish.
    """
    asyncio.run(_serve(make_application, port, stop_seconds))


async def _serve(
    make_application: Callable[[], Awaitable[web.Application]],
    port: int,
    stop_seconds: float,
) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    runner = web.AppRunner(await make_application(), shutdown_timeout=stop_seconds)
    await runner.setup()
    site = web.TCPSite(runner, HOST, port)
    await site.start()
    print(f"listening {runner.addresses[0][1]}", flush=True)
    await stopped.wait()
    await runner.cleanup()
