"""Reads callers' requests, checks them against the configuration, and responds."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import structlog
from result import Err

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.route_table import choose_service
from bamboopier_gateway.body import BodyBudget, read_body

from .delivery import CallerDisconnectedError, Delivery
from .forwarder import make_stale_configuration_error
from .messages import Call, make_fingerprint, make_part_digests
from .refusals import CallerError, ErrorCode, ExecutionStatus, make_error_headers

if TYPE_CHECKING:
    import random

    from aiohttp import web

    from bamboopier_decisions.forwarding.pause_tracker import PauseTracker
    from bamboopier_decisions.forwarding.route_table import RouteTable
    from bamboopier_decisions.forwarding.specs import Route, Workspace

    from .active_configuration import ActiveConfiguration
    from .forwarder import Forwarder
    from .header_codec import HeaderCodec
    from .messages import RequestMetadata
    from .metrics import ProxyMetrics

# Seconds within which a request body must arrive.
BODY_TIMEOUT_SECONDS = 10.0
# Seconds for which a caller waits if it sends no deadline.
DEFAULT_DEADLINE_SECONDS = 60.0
# Share of this process's memory for the bodies of open requests.
BODY_MEMORY_SHARE = 0.12
# Retry-After, in seconds, while this process has no configuration yet.
STARTING_RETRY_SECONDS = 0.5
# Retry-After, in seconds, while this process is stopping: another one can serve.
STOPPING_RETRY_SECONDS = 0.05
# Methods that apply to a connection and not to a resource.
REFUSED_METHODS = frozenset({"CONNECT", "TRACE"})

log = structlog.get_logger()


class Ingress:
    """Handles every request of every caller."""

    def __init__(
        self,
        codec: HeaderCodec,
        active_configuration: ActiveConfiguration,
        forwarder: Forwarder,
        metrics: ProxyMetrics,
        pauses: PauseTracker,
        memory_bytes: int,
        random: random.Random,
    ) -> None:
        self._codec = codec
        self._active_configuration = active_configuration
        self._forwarder = forwarder
        self._metrics = metrics
        self._pauses = pauses
        self._random = random
        self._bodies = BodyBudget(
            int(memory_bytes * BODY_MEMORY_SHARE), metrics.held_body_bytes
        )
        self._open = 0
        # Responses announce that their connection closes.
        self.stopping = False
        # The process may end before new requests complete; another one serves them.
        self.refusing = False
        self.idle = asyncio.Event()
        self.idle.set()

    @property
    def open_requests(self) -> int:
        """Return the number of requests without a final response."""
        return self._open

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        arrived = read_clock()
        delivery = Delivery(request, lambda: self.stopping)
        self._open += 1
        self._metrics.open_requests.set(self._open)
        self.idle.clear()
        trace = _RequestTrace()
        try:
            with self._bodies.open(request):
                await self._process(request, delivery, arrived, trace)
        except CallerError as error:
            await self._send_error(request, delivery, trace, error)
        except CallerDisconnectedError as error:
            trace.outcome = f"caller gone: {error}"
            delivery.abort()
        except asyncio.CancelledError:
            trace.outcome = "caller left"
            raise
        except Exception:
            log.exception("request failed", request_id=trace.request_id)
            ran = (
                ExecutionStatus.UNKNOWN if trace.sent else ExecutionStatus.NOT_EXECUTED
            )
            internal_error = CallerError(ErrorCode.INTERNAL, "internal error", ran)
            await self._send_error(request, delivery, trace, internal_error)
        finally:
            self._open -= 1
            self._metrics.open_requests.set(self._open)
            if self._open == 0:
                self.idle.set()
            self._log_request(delivery, trace, arrived)
        if not delivery.started:
            raise ConnectionResetError("the caller disconnected")
        return delivery.response

    async def _process(
        self,
        request: web.BaseRequest,
        delivery: Delivery,
        arrived: float,
        trace: _RequestTrace,
    ) -> None:
        if self.refusing:
            message = "this process is stopping"
            raise CallerError(
                ErrorCode.STOPPING,
                message,
                ExecutionStatus.NOT_EXECUTED,
                STOPPING_RETRY_SECONDS,
            )
        table = self._active_configuration.table
        if table is None:
            message = "no configuration is known yet"
            raise CallerError(
                ErrorCode.STALE_CONFIGURATION,
                message,
                ExecutionStatus.NOT_EXECUTED,
                STARTING_RETRY_SECONDS,
            )
        metadata = self._parse_metadata(request, trace)
        path = request.raw_path.partition("?")[0]
        host = _read_host(request)
        route = table.find_route(host, path)
        if route is None:
            raise self._deny(ErrorCode.NOT_FOUND, "no route for this host and path")
        trace.route = route.name
        workspace = self._authenticate(table, route, metadata, arrived)
        limit = table.configuration.limits.body_bytes
        body = await read_body(request, limit, BODY_TIMEOUT_SECONDS)
        call = self._make_call(
            request, metadata, table, route, workspace, host, body, arrived
        )
        trace.call = call
        await self._forwarder.forward(call, delivery)

    def _parse_metadata(
        self, request: web.BaseRequest, trace: _RequestTrace
    ) -> RequestMetadata:
        read = self._codec.parse_request_headers(request.headers.items())
        if isinstance(read, Err):
            raise CallerError(ErrorCode.BAD_REQUEST, read.err_value)
        metadata = read.ok_value
        trace.request_id = metadata.request_id or trace.request_id
        if request.method in REFUSED_METHODS:
            raise CallerError(ErrorCode.METHOD_NOT_ALLOWED, "this method is refused")
        return metadata

    def _authenticate(
        self, table: RouteTable, route: Route, metadata: RequestMetadata, now: float
    ) -> Workspace | None:
        if not table.needs_key or route.public:
            return None
        if not self._active_configuration.freshness.is_fresh(now):
            raise make_stale_configuration_error(self._active_configuration, now)
        workspace = table.find_workspace(metadata.key) if metadata.key else None
        if workspace is None:
            raise self._deny(ErrorCode.UNAUTHENTICATED, "no such key")
        return workspace

    def _deny(self, code: ErrorCode, message: str) -> CallerError:
        """Return the error for what the configuration does not contain.

        It tells the caller to return if a newer configuration may contain it.
        """
        now = read_clock()
        if self._active_configuration.freshness.allows_denial(now):
            return CallerError(code, message)
        return make_stale_configuration_error(self._active_configuration, now)

    def _make_call(
        self,
        request: web.BaseRequest,
        metadata: RequestMetadata,
        table: RouteTable,
        route: Route,
        workspace: Workspace | None,
        host: str,
        body: bytes,
        arrived: float,
    ) -> Call:
        wait_seconds = metadata.deadline_seconds
        deadline = arrived + (
            DEFAULT_DEADLINE_SECONDS if wait_seconds is None else wait_seconds
        )
        prompt = metadata.prompt if route.has_prompt else None
        return Call(
            request_id=metadata.request_id,
            method=request.method,
            raw_path=request.raw_path,
            host=request.headers["Host"],
            headers=metadata.forwarded_headers,
            body=body,
            route=route,
            service=choose_service(route, self._random),
            workspace=workspace,
            prompt=prompt,
            parts=make_part_digests(prompt, workspace) if prompt is not None else (),
            priority=table.find_priority(route, workspace),
            arrived=arrived,
            unread_seconds=arrived - self._pauses.find_unread_since(arrived),
            deadline=deadline,
            timeout_at=min(deadline, arrived + route.timeout),
            version=table.configuration.version,
            fingerprint=make_fingerprint(
                request.method,
                request.raw_path,
                workspace.name if workspace is not None else "",
                body,
            ),
            last_event=metadata.last_event,
            resumed_request_id=metadata.resumed_request_id,
        )

    async def _send_error(
        self,
        request: web.BaseRequest,
        delivery: Delivery,
        trace: _RequestTrace,
        error: CallerError,
    ) -> None:
        trace.outcome = f"{error.code.value}: {error.message}"
        self._metrics.refusals.labels(error.code.value).inc()
        if delivery.started:
            delivery.abort()
            return
        headers = make_error_headers(error, trace.request_id)
        if not request.content.at_eof():
            # The rest of the body is not read, so the connection cannot be reused.
            delivery.close_connection = True
        try:
            body = error.make_body(trace.request_id)
            await delivery.send(error.status, headers, body)
        except CallerDisconnectedError as disconnected:
            trace.outcome += f"; caller gone: {disconnected}"

    def _log_request(
        self, delivery: Delivery, trace: _RequestTrace, arrived: float
    ) -> None:
        status = delivery.response.status if delivery.started else 0
        self._metrics.requests.labels(trace.route, status).inc()
        call = trace.call
        log.info(
            "request ended",
            request_id=trace.request_id,
            route=trace.route,
            status=status,
            outcome=trace.outcome,
            tried=call.tried if call else [],
            workspace=call.workspace.name if call and call.workspace else "",
            seconds=round(read_clock() - arrived, 4),
            configuration=self._active_configuration.version,
        )


class _RequestTrace:
    """Fields of the log line that is written when a request ends."""

    __slots__ = ("call", "outcome", "request_id", "route")

    def __init__(self) -> None:
        self.request_id = uuid.uuid4().hex
        self.route = ""
        self.outcome = ""
        self.call: Call | None = None

    @property
    def sent(self) -> bool:
        """Return whether the request may have reached a target."""
        return self.call is not None and bool(self.call.tried)


def _read_host(request: web.BaseRequest) -> str:
    """Return the host in lower case and without its port."""
    hosts = request.headers.getall("Host", [])
    if len(hosts) != 1:
        raise CallerError(ErrorCode.BAD_REQUEST, "send one Host header")
    return hosts[0].partition(":")[0].strip().lower()
