"""Callers' requests: read, checked against the configuration, answered once."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import structlog
from result import Err

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.route_table import choose_service
from bamboopier_gateway.body import BodyBudget, read_body

from .delivery import CallerGoneError, Delivery
from .forwarder import make_stale_refusal
from .messages import Call, make_fingerprint
from .refusals import CallerError, ErrorCode, Ran, list_headers

if TYPE_CHECKING:
    import random

    from aiohttp import web

    from bamboopier_decisions.forwarding.specs import Route, Workspace
    from bamboopier_decisions.forwarding.route_table import RouteTable

    from .dialect import Dialect
    from .forwarder import Forwarder
    from .knowledge import Knowledge
    from .messages import CallerMarks
    from .metrics import ProxyMetrics

# Seconds a body may take to arrive.
BODY_SECONDS = 10.0
# Seconds a caller waits that does not say how long.
DEFAULT_DEADLINE_SECONDS = 60.0
# Share of this process's memory that bodies of open requests may take.
BODY_MEMORY_SHARE = 0.15
# Seconds after which a caller should come back to a process that knows nothing yet.
STARTING_SECONDS = 0.5
# Seconds after which a caller should come back to another process.
STOPPING_SECONDS = 0.05
# Methods that belong to a connection and not to a resource.
REFUSED_METHODS = frozenset({"CONNECT", "TRACE"})

log = structlog.get_logger()


class Ingress:
    """Answers every request of every caller."""

    def __init__(
        self,
        dialect: Dialect,
        knowledge: Knowledge,
        forwarder: Forwarder,
        metrics: ProxyMetrics,
        memory_bytes: int,
        random: random.Random,
    ) -> None:
        self._dialect = dialect
        self._knowledge = knowledge
        self._forwarder = forwarder
        self._metrics = metrics
        self._random = random
        self._bodies = BodyBudget(
            int(memory_bytes * BODY_MEMORY_SHARE), metrics.held_body_bytes
        )
        self._open = 0
        # Answers say that their connection closes.
        self.stopping = False
        # What comes now could be cut by the end of this process; another one takes it.
        self.refusing = False
        self.idle = asyncio.Event()
        self.idle.set()

    @property
    def open_requests(self) -> int:
        """Return the number of requests without a final answer."""
        return self._open

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        arrived = read_clock()
        delivery = Delivery(request, lambda: self.stopping)
        self._open += 1
        self._metrics.open_requests.set(self._open)
        self.idle.clear()
        trace = _Trace()
        try:
            with self._bodies.open(request):
                await self._answer(request, delivery, arrived, trace)
        except CallerError as error:
            await self._fail(request, delivery, trace, error)
        except CallerGoneError as error:
            trace.outcome = f"caller gone: {error}"
            delivery.cut()
        except asyncio.CancelledError:
            trace.outcome = "caller left"
            raise
        except Exception:
            log.exception("request failed", request_id=trace.request_id)
            ran = Ran.UNKNOWN if trace.sent else Ran.NO
            fault = CallerError(ErrorCode.INTERNAL, "internal error", ran)
            await self._fail(request, delivery, trace, fault)
        finally:
            self._open -= 1
            self._metrics.open_requests.set(self._open)
            if self._open == 0:
                self.idle.set()
            self._log_end(delivery, trace, arrived)
        if not delivery.begun:
            raise ConnectionResetError("the caller is gone")
        return delivery.response

    async def _answer(
        self,
        request: web.BaseRequest,
        delivery: Delivery,
        arrived: float,
        trace: _Trace,
    ) -> None:
        if self.refusing:
            message = "this process is stopping"
            raise CallerError(ErrorCode.STOPPING, message, Ran.NO, STOPPING_SECONDS)
        table = self._knowledge.table
        if table is None:
            message = "no configuration is known yet"
            raise CallerError(
                ErrorCode.STALE_CONFIGURATION, message, Ran.NO, STARTING_SECONDS
            )
        marks = self._read_marks(request, trace)
        path = request.raw_path.partition("?")[0]
        host = _read_host(request)
        route = table.find_route(host, path)
        if route is None:
            raise CallerError(ErrorCode.NOT_FOUND, "no route for this host and path")
        trace.route = route.name
        workspace = self._authenticate(table, route, marks, arrived)
        limit = table.configuration.limits.body_bytes
        body = await read_body(request, limit, BODY_SECONDS)
        call = self._make_call(
            request, marks, table, route, workspace, host, body, arrived
        )
        trace.call = call
        await self._forwarder.forward(call, delivery)

    def _read_marks(self, request: web.BaseRequest, trace: _Trace) -> CallerMarks:
        read = self._dialect.read_caller(request.headers.items())
        if isinstance(read, Err):
            raise CallerError(ErrorCode.BAD_REQUEST, read.err_value)
        marks = read.ok_value
        trace.request_id = marks.request_id or trace.request_id
        if request.method in REFUSED_METHODS:
            raise CallerError(ErrorCode.METHOD_NOT_ALLOWED, "this method is refused")
        return marks

    def _authenticate(
        self, table: RouteTable, route: Route, marks: CallerMarks, now: float
    ) -> Workspace | None:
        if not table.needs_key or route.public:
            return None
        if not self._knowledge.currency.is_fresh(now):
            raise make_stale_refusal(self._knowledge, now)
        workspace = table.find_workspace(marks.key) if marks.key else None
        if workspace is None:
            raise CallerError(ErrorCode.UNAUTHENTICATED, "no such key")
        return workspace

    def _make_call(
        self,
        request: web.BaseRequest,
        marks: CallerMarks,
        table: RouteTable,
        route: Route,
        workspace: Workspace | None,
        host: str,
        body: bytes,
        arrived: float,
    ) -> Call:
        waits = marks.deadline_seconds
        deadline = arrived + (DEFAULT_DEADLINE_SECONDS if waits is None else waits)
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        return Call(
            request_id=marks.request_id,
            method=request.method,
            raw_path=request.raw_path,
            host=request.headers["Host"],
            headers=marks.passed,
            body=body,
            route=route,
            service=choose_service(route, self._random),
            workspace=workspace,
            prompt=marks.prompt if route.has_prompt else None,
            priority=priority,
            arrived=arrived,
            deadline=deadline,
            timeout=min(deadline, arrived + route.timeout),
            version=table.configuration.version,
            fingerprint=make_fingerprint(
                request.method,
                request.raw_path,
                workspace.name if workspace is not None else "",
                body,
            ),
            last_event=marks.last_event,
        )

    async def _fail(
        self,
        request: web.BaseRequest,
        delivery: Delivery,
        trace: _Trace,
        error: CallerError,
    ) -> None:
        trace.outcome = f"{error.code.value}: {error.message}"
        self._metrics.refusals.labels(error.code.value).inc()
        if delivery.begun:
            delivery.cut()
            return
        headers = list_headers(error, trace.request_id)
        if not request.content.at_eof():
            # The rest of the body is not read, so nothing can follow it.
            delivery.closing = True
        try:
            body = error.make_body(trace.request_id)
            await delivery.send(error.status, headers, body)
        except CallerGoneError as gone:
            trace.outcome += f"; caller gone: {gone}"

    def _log_end(self, delivery: Delivery, trace: _Trace, arrived: float) -> None:
        status = delivery.response.status if delivery.begun else 0
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
            configuration=self._knowledge.version,
        )


class _Trace:
    """What the last log line of a request tells."""

    __slots__ = ("call", "outcome", "request_id", "route")

    def __init__(self) -> None:
        self.request_id = uuid.uuid4().hex
        self.route = ""
        self.outcome = ""
        self.call: Call | None = None

    @property
    def sent(self) -> bool:
        """Say whether a target may have the request."""
        return self.call is not None and bool(self.call.tried)


def _read_host(request: web.BaseRequest) -> str:
    """Return the host in lower case and without its port."""
    hosts = request.headers.getall("Host", [])
    if len(hosts) != 1:
        raise CallerError(ErrorCode.BAD_REQUEST, "send one Host header")
    return hosts[0].partition(":")[0].strip().lower()
