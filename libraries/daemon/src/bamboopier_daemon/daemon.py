"""Functions shared by all daemons: start, logs, background tasks, administration."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
import time
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from functools import cache
from typing import TYPE_CHECKING, Any, TextIO, cast

import msgspec
import structlog
from aiohttp import web
from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    generate_latest,
)

from .http.closed_connections import make_closed_counter
from .http.server import LimitedServer
from .listening import convert_listen_errors
from .log_sink import LogSink

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine

    from bamboopier_configuration.settings import Address

# Between two texts of the metrics.
EXPOSITION_SECONDS = 0.05
MAX_MESSAGE_BYTES = 65 * 1024 * 1024
# 340 gateways and 730 agents have many idle connections to each other: a ping every
# five minutes, without a pending call, costs a few bytes a second on each.
KEEPALIVE_MS = 300_000
GRPC_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.so_reuseport", 0),
]
# Of a server: streams of a connection, of which each request has one, and their
# headers. gRPC's own limit of connections is not used: with it, a crowd that exceeds it
# ends the process by memory that is freed twice.
MAX_PEER_STREAMS = 1024
MAX_PEER_METADATA_BYTES = 16 * 1024
GRPC_SERVER_OPTIONS = [
    *GRPC_OPTIONS,
    ("grpc.max_concurrent_streams", MAX_PEER_STREAMS),
    ("grpc.max_metadata_size", MAX_PEER_METADATA_BYTES),
]


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a daemon's main coroutine on uvloop with JSON logs on standard output.

    uvloop 0.22 opens an io_uring instance unless this variable is set before its
    import; the system must not use io_uring.
    """
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    configure_logs()
    uvloop.run(main)


def configure_logs() -> None:
    """Configure structlog to write one JSON object a line to standard output."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_encode),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(
            # structlog only writes and flushes.
            file=cast("TextIO", open_log_sink())
        ),
        cache_logger_on_first_use=True,
    )


@cache
def open_log_sink() -> LogSink:
    """Return the log sink of this process."""
    return LogSink(sys.stdout.fileno())


def _encode(line: dict[str, object], **_: object) -> str:
    """Return a line as JSON; values of other types are converted to strings."""
    return msgspec.json.encode(line, enc_hook=str).decode()


async def wait_for_stop() -> None:
    """Return at the first SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


@asynccontextmanager
async def keep_running(work: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """Run a background task for as long as the context is open."""
    task = asyncio.create_task(work)
    task.add_done_callback(_report_end)
    try:
        yield
    finally:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task


def _report_end(task: asyncio.Task[None]) -> None:
    """Log a failed background task and stop the process, which needs all of them."""
    if not task.cancelled() and task.exception() is not None:
        log = structlog.get_logger()
        log.error("background task failed", exc_info=task.exception())
        os.kill(os.getpid(), signal.SIGTERM)


@asynccontextmanager
async def serve_administration(
    address: Address,
    registry: CollectorRegistry,
    is_ready: Callable[[], bool],
    closed: Counter | None = None,
) -> AsyncIterator[int]:
    """Serve ``/healthz``, ``/readyz`` and ``/metrics``; yield the bound port.

    ``closed`` counts closed connections; without it this makes the counter.
    """

    async def answer_health(_: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def answer_readiness(_: web.Request) -> web.Response:
        if is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    exposition = Exposition(registry)

    async def answer_metrics(_: web.Request) -> web.Response:
        headers = {"Content-Type": CONTENT_TYPE_LATEST}
        return web.Response(body=exposition.read(), headers=headers)

    application = web.Application()
    application.add_routes(
        [
            web.get("/healthz", answer_health),
            web.get("/readyz", answer_readiness),
            web.get("/metrics", answer_metrics),
        ]
    )
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    assert runner.server is not None
    closed = closed or make_closed_counter(registry)
    server = LimitedServer(
        "administration", runner.server, address.host, address.port, closed
    )
    async with AsyncExitStack() as stack:
        stack.push_async_callback(runner.cleanup)
        with convert_listen_errors("admin", address):
            await stack.enter_async_context(server)
        yield server.port


class Exposition:
    """The text of all metrics, made at most once in ``EXPOSITION_SECONDS``.

    Guards against clients that ask for it again and again: making it takes
    milliseconds, in which nothing else is served.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry
        self._content = b""
        self._made_at = -EXPOSITION_SECONDS

    def read(self) -> bytes:
        """Return the text."""
        now = time.monotonic()
        if now - self._made_at >= EXPOSITION_SECONDS:
            self._made_at = now
            self._content = generate_latest(self._registry)
        return self._content
