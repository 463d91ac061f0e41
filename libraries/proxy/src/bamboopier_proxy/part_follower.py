"""Follows what lies whole in the stores of kept parts.

A store turns away questions beyond those it holds at once, so only the first few
gateways ask the stores. The others ask one of these.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import structlog
from result import Err, Result

from bamboopier_daemon.clock import read_clock

if TYPE_CHECKING:
    import random

    from bamboopier_decisions.forwarding.part_store_index import (
        PartStoreIndex,
        PartUpdate,
    )

    from .gateway_registry import GatewayRegistry
    from .part_relay import PartRelay

# Seconds a question waits for news; stores charge for shorter ones than 0.2 s.
POLL_TIMEOUT_SECONDS = 0.4
# Seconds between two looks at the declared stores.
TASK_UPDATE_SECONDS = 1.0
# Seconds between two questions: news arrive in groups, and beliefs stay fresh.
POLL_PAUSE_SECONDS = 0.25
# Seconds between two questions to a store that does not answer.
RETRY_SECONDS = 0.4
# Gateways that ask the stores: two thirds of the questions that a store holds at once,
# as two gateways may differ for a while in who the first are.
DIRECT_GATEWAYS = 8
# Seconds between two questions to another gateway.
RELAY_POLL_SECONDS = 0.35

# Names the choice of gateways that ask the stores.
RELAY = "part-relay"

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class PartReply:
    """News with the place from which to ask on."""

    news: PartUpdate
    position: int


class PartStoreClient(Protocol):
    """Calls to the stores."""

    async def read_updates(
        self, address: str, position: int, seconds: float
    ) -> Result[PartReply, str]:
        """Wait up to ``seconds`` for what changed after ``position``."""
        ...


class PartFollower:
    """One task for each declared store, or one for another gateway's news."""

    def __init__(
        self,
        client: PartStoreClient,
        kept: PartStoreIndex,
        relay: PartRelay,
        registry: GatewayRegistry,
        random: random.Random,
    ) -> None:
        self._client = client
        self._kept = kept
        self._relay = relay
        self._registry = registry
        self._random = random
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Start and end tasks as stores and gateways come and go, until cancelled."""
        try:
            while True:
                self._update_tasks()
                await asyncio.sleep(TASK_UPDATE_SECONDS)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _update_tasks(self) -> None:
        first = self._registry.select_gateways(RELAY, DIRECT_GATEWAYS)
        if any(self._registry.is_own(name) for name in first):
            wanted = {store.address for store in self._kept.stores}
        else:
            wanted = {RELAY}
        # A task ends by itself when its store is withdrawn, and may be declared again.
        over = [n for n, t in self._tasks.items() if n not in wanted or t.done()]
        for name in over:
            self._tasks.pop(name).cancel()
        for name in wanted - self._tasks.keys():
            work = self._poll_gateways() if name == RELAY else self._poll_store(name)
            self._tasks[name] = asyncio.create_task(work)

    async def _poll_gateways(self) -> None:
        """Ask one of the first gateways; another when that one has no news."""
        log.info("news of stores asked of gateways")
        turn = self._random.randrange(DIRECT_GATEWAYS)
        while True:
            first = self._registry.select_gateways(RELAY, DIRECT_GATEWAYS)
            gateway = self._registry.peers.get(first[turn % len(first)])
            if gateway is None:
                turn += 1
                await asyncio.sleep(RETRY_SECONDS)
                continue
            answer = await self._relay.request(gateway)
            if isinstance(answer, Err) or not answer.ok_value:
                reason = answer.err_value if isinstance(answer, Err) else "no news"
                log.warning("gateway without news", gateway=str(gateway), reason=reason)
                turn += 1
            await asyncio.sleep(RELAY_POLL_SECONDS)

    async def _poll_store(self, address: str) -> None:
        position = 0
        answered = False
        while True:
            sent_at = read_clock()
            answer = await self._client.read_updates(
                address, position, POLL_TIMEOUT_SECONDS
            )
            store = self._kept.find(address)
            if store is None:
                return
            if isinstance(answer, Err):
                store.invalidate()
                position = 0
                if answered:
                    log.warning("store lost", store=address, reason=answer.err_value)
                answered = False
                await asyncio.sleep(RETRY_SECONDS)
                continue
            found = answer.ok_value
            if store.apply_update(sent_at, read_clock(), found.news):
                log.info("store regained", store=address, epoch=found.news.epoch)
                # What lay there before its start is gone; ask from its beginning.
                position = 0 if answered else found.position
            else:
                position = found.position
            answered = True
            await asyncio.sleep(POLL_PAUSE_SECONDS)
