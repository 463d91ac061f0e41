"""The HTTP application that callers talk to."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import structlog
from aiohttp import web

from bamboopier_decisions.routing.messages import Ran

from .delivery import Delivery, SlowCallerError
from .errors import CallerError, ErrorCode
from .status import GatewayStatus

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bamboopier_configuration.directory import Directory
    from bamboopier_configuration.settings import GatewaySettings
    from bamboopier_platform.follower import ConfigurationFollower

    from .call import Call
    from .forwarder import Forwarder
    from .metrics import GatewayMetrics
    from .reader import CallReader

    ReadCall = Callable[[web.Request, Directory], Awaitable[Call]]

# The largest body any service may allow; the service's own limit is checked later.
MAX_BODY_BYTES = 64 * 1024 * 1024
# For the last answers of requests that are cut when the process ends.
CUT_SECONDS = 2.0

log = structlog.get_logger()


class GatewayApplication:
    """Routes callers' requests and counts those under way."""

    def __init__(
        self,
        settings: GatewaySettings,
        follower: ConfigurationFollower,
        reader: CallReader,
        forwarder: Forwarder,
        metrics: GatewayMetrics,
    ) -> None:
        self._settings = settings
        self._follower = follower
        self._reader = reader
        self._forwarder = forwarder
        self._metrics = metrics
        self._stopping = False
        self._open = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._tasks: set[asyncio.Task[object]] = set()
        self._cutting = False

    def make_application(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.add_routes(
            [
                web.post("/v1/completions", self._serve_model),
                web.post("/v1/chat/completions", self._serve_model),
                web.get("/v1/status", self._report_status),
                web.route("*", "/services/{service}/{path:.*}", self._serve_plain),
            ]
        )
        return application

    @property
    def ready(self) -> bool:
        """Say whether the balancer should send callers here."""
        directory = self._follower.directory
        drained = self._settings.data_centre in (
            directory.configuration.drains.data_centres
        )
        return not self._stopping and directory.generation > 0 and not drained

    @property
    def open_requests(self) -> int:
        """Return the number of requests without a final answer."""
        return self._open

    def stop(self) -> None:
        """Refuse new requests from now on."""
        self._stopping = True

    async def wait_until_idle(self) -> None:
        """Return once every request has its final answer."""
        await self._idle.wait()

    async def cut_short(self) -> None:
        """End every open request now with an answer that says what is known."""
        self._cutting = True
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CUT_SECONDS)

    async def _report_status(self, _: web.Request) -> web.Response:
        generation = self._follower.directory.generation
        found = GatewayStatus(generation, self.ready, self._open)
        return web.Response(
            body=msgspec.json.encode(found), content_type="application/json"
        )

    async def _serve_model(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, self._reader.read_model_call)

    async def _serve_plain(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, self._reader.read_plain_call)

    async def _serve(
        self, request: web.Request, read_call: ReadCall
    ) -> web.StreamResponse:
        if self._stopping:
            error = CallerError(ErrorCode.STOPPING, "shutting down", retry_after=1.0)
            return error.make_response("")
        self._open += 1
        self._idle.clear()
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
        try:
            return await self._answer(request, read_call)
        finally:
            if task is not None:
                self._tasks.discard(task)
            self._open -= 1
            if self._open == 0:
                self._idle.set()

    async def _answer(
        self, request: web.Request, read_call: ReadCall
    ) -> web.StreamResponse:
        request_id, service = "", ""
        try:
            call = await read_call(request, self._follower.directory)
            request_id, service = call.request_id, call.service
            timeout = self._settings.write_timeout_seconds
            delivery = Delivery(request, request_id, timeout)
            response = await self._forward(call, delivery)
            self._metrics.answers.labels(service, str(response.status)).inc()
            return response
        except CallerError as error:
            self._metrics.answers.labels(service, error.code.value).inc()
            return error.make_response(request_id)
        except asyncio.CancelledError:
            if not self._cutting:
                raise
            message = "cut by the end of this process"
            cut = CallerError(ErrorCode.OUTCOME_UNKNOWN, message, Ran.UNKNOWN)
            return cut.make_response(request_id)
        except SlowCallerError:
            log.info("caller too slow", request_id=request_id)
            self._metrics.answers.labels(service, "slow-caller").inc()
            raise ConnectionResetError("caller too slow") from None

    async def _forward(self, call: Call, delivery: Delivery) -> web.StreamResponse:
        """Forward; an answer under way that is cut by the process ends as such."""
        try:
            return await self._forwarder.forward(call, delivery)
        except asyncio.CancelledError:
            if not self._cutting or not delivery.begun:
                raise
            message = "cut by the end of this process"
            error = CallerError(ErrorCode.OUTCOME_UNKNOWN, message, Ran.UNKNOWN)
            return await delivery.fail(error)
