"""Serves callers' HTTP requests."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec
import structlog
from aiohttp import web

from bamboopier_decisions.routing.messages import ExecutionStatus

from .body import BodyBudget
from .delivery import Delivery, SlowCallerError
from .error_responses import REQUEST_ID, abort_connection, answer_errors
from .errors import CallerError, ErrorCode
from .model_list import list_models
from .prompt import CHAT_PATH
from .reader import authenticate
from .status import GatewayStatus

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bamboopier_configuration.directory import Directory
    from bamboopier_configuration.settings import GatewaySettings
    from bamboopier_objects.follower import ConfigurationFollower

    from .call import Call
    from .forwarder import Forwarder
    from .metrics import GatewayMetrics
    from .reader import CallReader

    ReadCall = Callable[[web.Request, str, Directory], Awaitable[Call]]

# The largest body that any service may allow; the service's own limit is checked later.
MAX_BODY_BYTES = 64 * 1024 * 1024
# For the final responses of requests that are aborted when the process ends.
ABORT_TIMEOUT_SECONDS = 2.0
# Retry-After of a gateway that has no configuration yet: the platform's first response
# takes less, and the load balancer sends callers to other gateways.
STARTUP_RETRY_AFTER_SECONDS = 1.0
# Retry-After of a gateway whose configuration may be outdated.
OUTDATED_RETRY_AFTER_SECONDS = 1.0
# What a newer configuration may allow.
DENIALS = frozenset(
    {ErrorCode.UNAUTHENTICATED, ErrorCode.FORBIDDEN, ErrorCode.NOT_FOUND}
)
REQUEST_ID_HEADER = "X-Request-Id"

log = structlog.get_logger()


class GatewayApplication:
    """Routes callers' requests and counts those in flight."""

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
        self._bodies = BodyBudget(settings.max_held_body_bytes, metrics.held_body_bytes)
        self._stopping = False
        self._open_count = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._tasks: set[asyncio.Task[object]] = set()
        self._aborting = False

    def make_application(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[answer_errors]
        )
        application.add_routes(
            [
                web.post("/v1/completions", self._serve_model),
                web.post(CHAT_PATH, self._serve_model),
                web.get("/v1/models", self._list_models),
                web.get("/v1/status", self._report_status),
                web.route("*", "/services/{service}/{path:.*}", self._serve_plain),
            ]
        )
        return application

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send callers to this gateway."""
        directory = self._follower.directory
        drained = self._settings.data_centre in (
            directory.configuration.drains.data_centres
        )
        return not self._stopping and directory.generation > 0 and not drained

    @property
    def open_requests(self) -> int:
        """Return the number of requests without a final response."""
        return self._open_count

    def stop(self) -> None:
        """Refuse new requests from now on."""
        self._stopping = True

    async def wait_until_idle(self) -> None:
        """Return once every request has its final response."""
        await self._idle.wait()

    async def abort_requests(self) -> None:
        """End every open request now with a response that states its outcome."""
        self._aborting = True
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=ABORT_TIMEOUT_SECONDS)

    async def _report_status(self, _: web.Request) -> web.Response:
        generation = self._follower.directory.generation
        status = GatewayStatus(generation, self.ready, self._open_count)
        return web.Response(
            body=msgspec.json.encode(status), content_type="application/json"
        )

    def _check_configured(self) -> None:
        """Refuse requests while no configuration is loaded.

        A gateway that starts while the platform does not respond has no API keys: it
        would answer 401 to a valid one, and the caller would not retry.
        """
        if self._follower.directory.generation == 0:
            message = "no configuration is known yet"
            raise CallerError(
                ErrorCode.STALE_CONFIGURATION,
                message,
                retry_after=STARTUP_RETRY_AFTER_SECONDS,
            )

    def _check_denial(self, error: CallerError) -> CallerError:
        """Return ``error``, or one that tells the caller to return.

        Guards against a key or a service that was added while this gateway could not
        read the configuration: a caller that is denied does not retry.
        """
        if error.code not in DENIALS or self._follower.is_current:
            return error
        return CallerError(
            ErrorCode.STALE_CONFIGURATION,
            "the configuration may be outdated",
            retry_after=OUTDATED_RETRY_AFTER_SECONDS,
        )

    async def _serve_model(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, self._reader.read_model_call)

    async def _serve_plain(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, self._reader.read_plain_call)

    async def _list_models(self, request: web.Request) -> web.StreamResponse:
        """Respond with the models that the caller's workspace may use."""
        self._check_configured()
        directory = self._follower.directory
        try:
            workspace = authenticate(request, directory)
        except CallerError as error:
            raise self._check_denial(error) from error
        body = msgspec.json.encode(list_models(directory, workspace))
        headers = {REQUEST_ID_HEADER: request[REQUEST_ID]}
        return web.Response(body=body, content_type="application/json", headers=headers)

    async def _serve(
        self, request: web.Request, read_call: ReadCall
    ) -> web.StreamResponse:
        if self._stopping:
            raise CallerError(ErrorCode.STOPPING, "shutting down", retry_after=1.0)
        self._check_configured()
        self._open_count += 1
        self._metrics.open_requests.set(self._open_count)
        self._idle.clear()
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
        try:
            with self._bodies.open(request):
                return await self._respond(request, read_call)
        finally:
            if task is not None:
                self._tasks.discard(task)
            self._open_count -= 1
            self._metrics.open_requests.set(self._open_count)
            if self._open_count == 0:
                self._idle.set()

    async def _respond(
        self, request: web.Request, read_call: ReadCall
    ) -> web.StreamResponse:
        arrived_at = time.monotonic()
        try:
            call = await read_call(
                request, request[REQUEST_ID], self._follower.directory
            )
        except CallerError as error:
            checked = self._check_denial(error)
            self._metrics.responses.labels("", checked.code.value).inc()
            raise checked from error
        delivery = Delivery(
            request, call.request_id, self._settings.write_timeout_seconds
        )
        try:
            response = await self._forwarder.forward(call, delivery)
        except CallerError as error:
            return await self._fail(call, delivery, error)
        except asyncio.CancelledError:
            if not self._aborting:
                raise
            message = "cut by the end of this process"
            abort_error = CallerError(
                ErrorCode.OUTCOME_UNKNOWN, message, ExecutionStatus.UNKNOWN
            )
            return await self._fail(call, delivery, abort_error)
        except SlowCallerError:
            log.info("caller too slow", request_id=call.request_id)
            self._metrics.responses.labels(call.service, "slow-caller").inc()
            # A plain close would wait for the caller to read the buffered bytes.
            abort_connection(request)
            raise ConnectionResetError("caller too slow") from None
        except ConnectionError:
            raise
        except Exception:
            log.exception("request failed", request_id=call.request_id)
            # An attempt may have been made, and its outcome is unknown.
            internal_error = CallerError(
                ErrorCode.INTERNAL, "internal error", ExecutionStatus.UNKNOWN
            )
            return await self._fail(call, delivery, internal_error)
        self._metrics.responses.labels(call.service, str(response.status)).inc()
        if call.model is not None and delivery.first_written_at:
            first_token = self._metrics.first_token.labels(call.service)
            first_token.observe(delivery.first_written_at - arrived_at)
        return response

    async def _fail(
        self, call: Call, delivery: Delivery, error: CallerError
    ) -> web.StreamResponse:
        self._metrics.responses.labels(call.service, error.code.value).inc()
        if delivery.started:
            return await delivery.fail(error)
        return error.make_response(call.request_id)
