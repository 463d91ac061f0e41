"""A forwarder with one stub target, and a clock that tests control."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any, cast
from unittest import mock

from bamboopier_decisions.forwarding.fleet import Fleet
from bamboopier_decisions.forwarding.gateway_share import GatewayShare
from bamboopier_decisions.forwarding.part_store_index import PartStoreIndex
from bamboopier_decisions.forwarding.pause_tracker import PauseTracker
from bamboopier_decisions.forwarding.prompt import Prompt, PromptPart
from bamboopier_decisions.forwarding.shared_retry_budget import (
    RetryBudgetLimits,
    SharedRetryBudgets,
)
from bamboopier_decisions.forwarding.specs import (
    CallerLimits,
    DeclaredConfiguration,
    EngineSpec,
    RetrySafety,
    Route,
    ServiceSpec,
    TargetEntry,
    WeightedService,
    Workspace,
)
from bamboopier_decisions.forwarding.weight_versions import WeightVersions
from bamboopier_decisions.rollouts.traffic import RolloutTraffic
from bamboopier_proxy.active_configuration import ActiveConfiguration
from bamboopier_proxy.attempt_planner import AttemptPlanner
from bamboopier_proxy.call_retries import RetryAccounts
from bamboopier_proxy.exchange import Exchange
from bamboopier_proxy.forwarder import Forwarder
from bamboopier_proxy.messages import AttemptMetadata, Call, ResponseMetadata
from bamboopier_proxy.metrics import ProxyMetrics
from bamboopier_proxy.request_queues import RequestQueues
from bamboopier_proxy.rollouts.answer_log import AnswerLog
from bamboopier_proxy.stall_monitor import StallMonitor
from bamboopier_proxy.target_response import TargetResponse
from bamboopier_proxy.weight_expiry_monitor import WeightExpiryMonitor

if TYPE_CHECKING:
    from collections.abc import Callable

MODEL, SERVICE = "m1", "desk"
# Maximum age of the configuration, and the time for which older weights are allowed.
KEY_SECONDS, VERSION_SECONDS = 5.0, 12.0
TIMEOUT_SECONDS = 3.0
WORKSPACE = Workspace("midlands", ("k1",), None, isolated=False)


class Clock:
    """A clock that advances only when a test sets it."""

    def __init__(self) -> None:
        self.now = 1000.0

    def read(self) -> float:
        return self.now


class StubPool:
    """Calls back while a connection is made; records the request heads sent on it."""

    def __init__(self, on_connect: Callable[[], None]) -> None:
        self._on_connect = on_connect
        self.heads: list[str] = []
        self.unused = 0
        # Responses have neither a length nor chunks.
        self.unframed = False
        # Why a new connection fails after a response; None if it does not.
        self.check_error: Exception | None = None

    async def acquire(self, *_: object, **__: object) -> StubPool:
        self._on_connect()
        return self

    async def send_request(self, head: bytes, *_: object) -> TargetResponse:
        self.heads.append(head.decode())
        response = TargetResponse(
            200, (), lambda _: None, ends_with_connection=self.unframed
        )
        response.finish()
        return response

    def release_unused(self, *_: object) -> None:
        self.unused += 1

    def release(self, *_: object) -> None:
        """Accept a used connection."""

    def discard(self, *_: object) -> None:
        """Accept a connection that cannot be used again."""

    async def check(self, *_: object) -> None:
        if self.check_error is not None:
            raise self.check_error


class StubCodec:
    """Formats attempt metadata as plain headers; all responses are sealed."""

    def format_target_headers(
        self, metadata: AttemptMetadata
    ) -> tuple[tuple[str, str], ...]:
        return (
            ("Seconds-Left", f"{metadata.remaining_seconds:.3f}"),
            ("Wanted-Weights", str(metadata.weight_version)),
        )

    def parse_response_headers(self, *_: object) -> ResponseMetadata:
        return ResponseMetadata("r1", True, False, False, "i-1", 0, 0.0)


class ForwarderHarness:
    """A forwarder, its state, and what reached its one target."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.on_connect: Callable[[], None] = lambda: None
        self.pool = StubPool(lambda: self.on_connect())
        self.weights = WeightVersions(VERSION_SECONDS)
        self.active_configuration = ActiveConfiguration(KEY_SECONDS, lambda _: None)
        self.active_configuration.update(
            make_declared(), self.clock.now, self.clock.now
        )
        self.fleet = Fleet()
        self.fleet.set_services(make_declared().services)
        self.fleet.put(self.clock.now, make_entry())
        codec = cast("Any", StubCodec())
        self.pauses = PauseTracker(self.clock.now)
        self.crash_monitor = mock.Mock()
        self.crash_monitor.find_wait.return_value = 0.0
        self.crash_monitor.find_part_refusal.return_value = None
        metrics = ProxyMetrics()
        self.rollout_traffic = RolloutTraffic()
        self.request_queues = RequestQueues()
        budgets = SharedRetryBudgets(
            RetryBudgetLimits(0.2, 54.0, 10.0), GatewayShare(), 0.0
        )
        self.forwarder = Forwarder(
            self.fleet,
            self.active_configuration,
            AttemptPlanner(
                self.weights,
                PartStoreIndex(),
                self.fleet,
                self.rollout_traffic,
                random.Random(2),
            ),
            Exchange(
                cast("Any", self.pool),
                self.fleet,
                codec,
                WeightExpiryMonitor(self.weights),
                StallMonitor(),
                mock.Mock(),
                self.crash_monitor,
                self.pauses,
            ),
            self.request_queues,
            # No process beside the target answers.
            mock.Mock(refresh=mock.AsyncMock(return_value=False), ask=lambda _: False),
            metrics,
            self.crash_monitor,
            mock.Mock(bind=mock.AsyncMock()),
            RetryAccounts(
                budgets,
                mock.Mock(borrow=mock.AsyncMock(return_value=False)),
                metrics,
            ),
            AnswerLog(self.rollout_traffic, metrics),
            "z1",
            random.Random(1),
        )

    async def forward(self, *, keyed: bool = True, prompt: bool = False) -> mock.Mock:
        """Forward one request; return its caller's delivery."""
        delivery = mock.Mock(is_disconnected=False, started=False)
        delivery.send = mock.AsyncMock()
        call = make_call(self.clock.now, keyed=keyed, prompt=prompt)
        with (
            mock.patch("bamboopier_proxy.forwarder.read_clock", self.clock.read),
            mock.patch("bamboopier_proxy.target_selector.read_clock", self.clock.read),
            mock.patch("bamboopier_proxy.target_outcomes.read_clock", self.clock.read),
            mock.patch("bamboopier_proxy.exchange.read_clock", self.clock.read),
        ):
            await self.forwarder.forward(call, delivery)
        return delivery


def make_route() -> Route:
    """Return the only route, whose requests may run once."""
    return Route(
        name="desk",
        host="desk.example",
        prefix="/",
        repeat=RetrySafety.ONCE,
        streams=False,
        timeout=TIMEOUT_SECONDS,
        latency_objective=0.4,
        priority=1,
        services=(WeightedService(SERVICE),),
        max_targets=2,
        public=False,
        has_prompt=True,
    )


def make_declared() -> DeclaredConfiguration:
    """Return a configuration with one route, service and workspace."""
    engine = EngineSpec(slots=8, memory_tokens=10_000, models=(MODEL,))
    service = ServiceSpec(SERVICE, "/healthz", 100, 0.0, 0.0, engine)
    return DeclaredConfiguration(
        1, (make_route(),), {SERVICE: service}, CallerLimits(), (WORKSPACE,)
    )


def make_entry() -> TargetEntry:
    """Return the entry of the only target."""
    return TargetEntry(
        "i-1", 1, SERVICE, "10.0.0.1", 80, "z1", 8, False, 0.0, {MODEL: 1}
    )


def make_call(now: float, *, keyed: bool, prompt: bool) -> Call:
    """Return a request that has just arrived."""
    parts = (PromptPart("aa", 100), PromptPart("bb", 50))
    return Call(
        request_id="r1",
        method="POST",
        raw_path="/x",
        host="desk.example",
        headers=(),
        body=b"{}",
        route=make_route(),
        service=SERVICE,
        workspace=WORKSPACE if keyed else None,
        prompt=Prompt(MODEL, 150, 20, parts) if prompt else None,
        priority=1,
        arrived=now,
        deadline=now + TIMEOUT_SECONDS,
        timeout_at=now + TIMEOUT_SECONDS,
        version=1,
        fingerprint=b"",
    )
