"""The HTTP application that callers talk to."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import msgspec
import structlog
from aiohttp import web

from bamboopier_decisions.routing.messages import Ran

from .delivery import Delivery, SlowCallerError
from .errors import CallerError, ErrorCode, quote
from .prompt import CHAT_PATH
from .reader import authenticate

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.typedefs import Handler

    from bamboopier_configuration.directory import Directory
    from bamboopier_configuration.model import Workspace
    from bamboopier_configuration.settings import GatewaySettings
    from bamboopier_platform.follower import ConfigurationFollower

    from .call import Call
    from .forwarder import Forwarder
    from .metrics import GatewayMetrics
    from .reader import CallReader

    ReadCall = Callable[[web.Request, str, Directory], Awaitable[Call]]

# The largest body any service may allow; the service's own limit is checked later.
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_HEADER_BYTES = 32 * 1024
# Bytes of answers that may wait for a caller before its next request is read.
MAX_UNREAD_BYTES = 256 * 1024
REQUEST_ID_HEADER = "X-Request-Id"
# Key of the id that the gateway gave a request; a caller's own is never taken for it.
REQUEST_ID = web.RequestKey("request_id", str)
# The rest of the request is not read, so nothing can follow it.
_CLOSING = frozenset(
    {ErrorCode.TOO_LARGE, ErrorCode.BODY_TIMEOUT, ErrorCode.HEADERS_TOO_LARGE}
)

log = structlog.get_logger()


class ModelEntry(msgspec.Struct):
    """One model as OpenAI's API lists it."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "bamboopier"


class ModelList(msgspec.Struct):
    """The answer of ``/v1/models``."""

    data: list[ModelEntry]
    object: str = "list"


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

    async def _serve_model(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, self._reader.read_model_call)

    async def _serve_plain(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, self._reader.read_plain_call)

    async def _list_models(self, request: web.Request) -> web.StreamResponse:
        """Answer with the models that the caller's workspace may use."""
        directory = self._follower.directory
        workspace = authenticate(request, directory)
        body = msgspec.json.encode(list_models(directory, workspace))
        headers = {REQUEST_ID_HEADER: request[REQUEST_ID]}
        return web.Response(body=body, content_type="application/json", headers=headers)

    async def _serve(
        self, request: web.Request, read_call: ReadCall
    ) -> web.StreamResponse:
        if self._stopping:
            raise CallerError(ErrorCode.STOPPING, "shutting down", retry_after=1.0)
        self._open += 1
        self._idle.clear()
        try:
            return await self._answer(request, read_call)
        finally:
            self._open -= 1
            if self._open == 0:
                self._idle.set()

    async def _answer(
        self, request: web.Request, read_call: ReadCall
    ) -> web.StreamResponse:
        try:
            call = await read_call(
                request, request[REQUEST_ID], self._follower.directory
            )
        except CallerError as error:
            self._metrics.answers.labels("", error.code.value).inc()
            raise
        delivery = Delivery(
            request, call.request_id, self._settings.write_timeout_seconds
        )
        try:
            response = await self._forwarder.forward(call, delivery)
        except CallerError as error:
            return await self._fail(call, delivery, error)
        except SlowCallerError:
            log.info("caller too slow", request_id=call.request_id)
            self._metrics.answers.labels(call.service, "slow-caller").inc()
            # A plain close would wait for the caller to take what is buffered.
            _abort(request)
            raise ConnectionResetError("caller too slow") from None
        except ConnectionError:
            raise
        except Exception:
            log.exception("request failed", request_id=call.request_id)
            # An attempt may have been made, and nothing more is known about it.
            unknown = CallerError(ErrorCode.INTERNAL, "internal error", Ran.UNKNOWN)
            return await self._fail(call, delivery, unknown)
        self._metrics.answers.labels(call.service, str(response.status)).inc()
        return response

    async def _fail(
        self, call: Call, delivery: Delivery, error: CallerError
    ) -> web.StreamResponse:
        self._metrics.answers.labels(call.service, error.code.value).inc()
        if delivery.begun:
            return await delivery.fail(error)
        return error.make_response(call.request_id)


def list_models(directory: Directory, workspace: Workspace) -> ModelList:
    """Return the models of a workspace's services in the form of OpenAI's API."""
    names: dict[str, None] = {}
    for service_name in workspace.services:
        service = directory.services.get(service_name)
        if service is not None:
            names.update(dict.fromkeys(service.models))
    return ModelList([ModelEntry(name) for name in names])


@web.middleware
async def answer_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Give the request its id and turn every failure into a typed answer.

    Nothing has been sent to a target when an exception gets here: the attempts have a
    handler of their own, so "ran: no" is true.
    """
    request[REQUEST_ID] = uuid.uuid4().hex
    if _holds_too_much(request):
        _abort(request)
        raise ConnectionResetError("answers are not taken")
    try:
        _check_headers(request)
        return await handler(request)
    except CallerError as error:
        caught = error
    except web.HTTPException as error:
        caught = _explain_status(request, error)
    except ConnectionError:
        raise
    except Exception:
        log.exception("request failed", request_id=request[REQUEST_ID])
        caught = CallerError(ErrorCode.INTERNAL, "internal error")
    response = caught.make_response(request[REQUEST_ID])
    if caught.code in _CLOSING:
        response.force_close()
    return response


def _check_headers(request: web.Request) -> None:
    size = sum(len(name) + len(value) for name, value in request.raw_headers)
    if size > MAX_HEADER_BYTES:
        message = f"headers of {size} bytes; allowed: {MAX_HEADER_BYTES}"
        raise CallerError(ErrorCode.HEADERS_TOO_LARGE, message)


def _explain_status(request: web.Request, error: web.HTTPException) -> CallerError:
    if error.status == ErrorCode.NOT_FOUND.status:
        return CallerError(ErrorCode.NOT_FOUND, f"no such path: {quote(request.path)}")
    if isinstance(error, web.HTTPMethodNotAllowed):
        allowed = ", ".join(sorted(error.allowed_methods))
        message = f"{error.method} is not allowed here; allowed: {allowed}"
        return CallerError(ErrorCode.METHOD_NOT_ALLOWED, message)
    if error.status == ErrorCode.TOO_LARGE.status:
        return CallerError(ErrorCode.TOO_LARGE, "the body is too large")
    return CallerError(ErrorCode.BAD_REQUEST, error.reason or "bad request")


def _holds_too_much(request: web.Request) -> bool:
    """Say whether a caller pipelines requests and takes none of their answers.

    Short answers are buffered without waiting; without this check their number, and so
    the gateway's memory, would be the caller's choice.
    """
    transport = request.transport
    if transport is None:
        return False
    return transport.get_write_buffer_size() > MAX_UNREAD_BYTES


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
