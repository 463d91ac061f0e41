"""Exchanges hints between gateways: in-flight load, crashes and limits.

Load pattern: several gateways send to the same few engines. Each gateway counts its own
requests immediately; without the counts of the others it would consider an engine idle
that is busy with their requests. A hint every quarter second is sent more often than a
prompt can be prefilled and answered.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.clock import read_clock

from .capacity_loans import CapacityLoans
from .crash_hints import CrashHints
from .hint_socket import HintSocket
from .hints import (
    CapacityGrant,
    CapacityRequest,
    Hint,
    LoadHint,
    WeightLoadHint,
    encode,
    shorten,
)
from .limit_hints import LimitHints
from .load_hints import LoadHints
from .settings import Endpoint
from .stall_reports import StallReports

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable
    from types import TracebackType
    from typing import Self

    from bamboopier_decisions.forwarding.fleet import Fleet
    from bamboopier_decisions.quarantine.quarantine import Crash, Quarantine

    from .gateway_registry import GatewayRegistry
    from .request_queues import RequestQueues

# Interval between hints.
HINT_SECONDS = 0.25
# Maximum number of peers that get each hint.
MAX_PEERS = 8
# Maximum rate of load hints: half of what a node may use for control traffic. If many
# targets have requests in flight, each hint goes to fewer, randomly chosen peers.
BYTES_PER_SECOND = 11_000

log = structlog.get_logger()


class HintExchange:
    """Sends this gateway's hints and applies those of the others."""

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        registry: GatewayRegistry,
        fleet: Fleet,
        quarantine: Quarantine,
        request_queues: RequestQueues,
        random: random.Random,
    ) -> None:
        self._name = name
        self._registry = registry
        self._fleet = fleet
        self._random = random
        self._socket = HintSocket(host, port, self._receive)
        self._port = port
        self._started_ms = int(time.time() * 1000)
        self._numbers = itertools.count(1)
        self._loads = LoadHints(fleet)
        self._crashes = CrashHints(quarantine, random)
        self._limits = LimitHints(fleet, random)
        self._stalls = StallReports(fleet)
        self._loans = CapacityLoans(name, fleet, request_queues, self, random)
        # Called with the messages that are handled elsewhere.
        self.listeners: list[Callable[[Hint, Endpoint], None]] = []

    @property
    def started_ms(self) -> int:
        """Return the start time of this process in milliseconds since 1970."""
        return self._started_ms

    async def __aenter__(self) -> Self:
        await self._socket.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._socket.__aexit__(kind, error, traceback)

    def record_crashes(self, crashes: Iterable[Crash]) -> None:
        """Record targets that ended with requests, and announce them at once.

        Until the others know, each sends them to further targets.
        """
        self._crashes.record(read_clock(), crashes, self._name)
        self._send_loads()

    def record_completed(self, fingerprint: bytes) -> None:
        """Record that a target completed a request."""
        self._crashes.record_completed(read_clock(), fingerprint)

    def find_wait(self, fingerprint: bytes) -> float:
        """Return the seconds for which a request is refused; 0 if it is not."""
        return self._crashes.find_wait(read_clock(), fingerprint)

    async def run(self) -> None:
        """Send hints until cancelled."""
        while True:
            await asyncio.sleep(HINT_SECONDS)
            self._stalls.log_changes(read_clock())
            self._send_loads()
            self._loads.apply(read_clock())

    async def run_loans(self) -> None:
        """Borrow capacity of other gateways for waiting callers until cancelled."""
        await self._loans.run()

    def sample_peers(self, max_count: int = MAX_PEERS) -> list[Endpoint]:
        """Return up to ``max_count`` of the other gateways, and of ``MAX_PEERS``."""
        return self._sample(
            list(self._registry.peers.values()), min(max_count, MAX_PEERS)
        )

    def select_peers(self, key: bytes, count: int) -> list[Endpoint]:
        """Return the ``count`` other gateways that are selected for ``key``."""
        return self._registry.select_peers(key, count)

    def send(self, hint: Hint, to: Endpoint) -> None:
        """Send a datagram."""
        self._socket.send(hint, to)

    def _send_loads(self) -> None:
        now = read_clock()
        hint = shorten(
            LoadHint(
                self._name,
                next(self._numbers),
                self._started_ms,
                self._loads.list_loads(now),
                self._crashes.list_crashes(now),
                self._limits.list_hints(now),
                self._crashes.list_refused(now),
                self._loads.list_demands(now),
            )
        )
        allowed = BYTES_PER_SECOND * HINT_SECONDS / len(encode(hint))
        silent = self._sample(self._registry.pop_silent(), MAX_PEERS)
        for peer in [*self.sample_peers(max(1, int(allowed))), *silent]:
            self._socket.send(hint, peer)

    def _sample(self, peers: list[Endpoint], max_count: int) -> list[Endpoint]:
        return (
            peers if len(peers) <= max_count else self._random.sample(peers, max_count)
        )

    def _receive(self, hint: Hint, sender: tuple[str, int]) -> None:
        match hint:
            case LoadHint():
                self._handle_load_hint(hint, sender)
            case WeightLoadHint():
                self._handle_weight_load(hint)
            case CapacityRequest():
                self._loans.answer(read_clock(), hint, Endpoint(*sender))
            case CapacityGrant():
                self._loans.apply(read_clock(), hint)
            case _:
                for listener in self.listeners:
                    listener(hint, Endpoint(*sender))

    def _handle_load_hint(self, hint: LoadHint, sender: tuple[str, int]) -> None:
        now = read_clock()
        if not self._loads.record(now, hint):
            return
        self._registry.record_hint(hint.sender, *sender)
        self._limits.apply(now, hint.sender, hint.limits)
        self._stalls.apply(now, hint.loads)
        self._crashes.apply(now, hint.sender, hint.crashes, hint.refused)

    def _handle_weight_load(self, hint: WeightLoadHint) -> None:
        state = self._fleet.find(hint.target)
        if state is None:
            return
        now = read_clock()
        is_known = hint.short_ms > 0 and now < state.short_answers_until
        state.busy_until = now + hint.busy_ms / 1000
        state.short_answers_until = now + hint.short_ms / 1000
        if hint.version:
            state.record_version(hint.model, hint.version)
        if is_known:
            return
        log.info(
            "weights of a target",
            target=hint.target,
            model=hint.model,
            weight_version=hint.version,
            busy_ms=hint.busy_ms,
            short_ms=hint.short_ms,
        )
