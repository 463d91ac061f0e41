"""Follows which parts are completely stored in the part stores.

A store rejects requests beyond the number that it holds open at once, so only a few
selected gateways poll the stores. The others poll one of these, or one that does.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import msgspec
import structlog
from result import Err, Result

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.part_store_index import (
    PartUpdate,
)
from bamboopier_decisions.forwarding.relay_tree import has_children, list_ancestors

if TYPE_CHECKING:
    import random

    from bamboopier_decisions.forwarding.part_store_index import (
        PartStoreIndex,
    )

    from .gateway_registry import GatewayRegistry
    from .part_relay import PartRelay
    from .settings import Endpoint

# Time that a request waits for changes; stores charge for requests shorter than 0.2 s.
POLL_TIMEOUT_SECONDS = 0.4
# Interval between checks of the declared stores.
TASK_UPDATE_SECONDS = 1.0
# Delay between two requests: changes arrive in groups, and the index remains fresh.
POLL_PAUSE_SECONDS = 0.25
# Delay before a request is retried at a store that does not answer.
RETRY_SECONDS = 0.4
# Number of gateways that poll the stores: two thirds of the requests that a store holds
# open at once, as two gateways may select different ones for a while.
DIRECT_GATEWAYS = 8
# Delay between two requests to another gateway; one that is polled in turn asks more
# often, as each step makes updates older.
RELAY_POLL_SECONDS = 0.35
INNER_POLL_SECONDS = 0.2
# Time after a failed request for which another gateway than the preferred is polled.
FALLBACK_SECONDS = 3.0

# Key of the selection of the gateways that poll the stores.
RELAY = "part-relay"

log = structlog.get_logger()


class PartReply(msgspec.Struct, frozen=True):
    """An update, and the position from which to request the next one."""

    update: PartUpdate
    position: int


class PartStoreClient(Protocol):
    """Client of the part stores."""

    async def read_updates(
        self, address: str, position: int, seconds: float
    ) -> Result[PartReply, str]:
        """Wait up to ``seconds`` for changes after ``position``."""
        ...


class PartFollower:
    """Runs a task for each declared store, or one that polls other gateways."""

    def __init__(
        self,
        client: PartStoreClient,
        index: PartStoreIndex,
        relay: PartRelay,
        registry: GatewayRegistry,
        random: random.Random,
    ) -> None:
        self._client = client
        self._index = index
        self._relay = relay
        self._registry = registry
        self._random = random
        self._tasks: dict[str, asyncio.Task[None]] = {}
        # All gateways, this one included, in the order on which they agree.
        self._ranked: list[str] = []

    async def run(self) -> None:
        """Start and cancel tasks as stores and gateways change, until cancelled."""
        try:
            while True:
                self._update_tasks()
                await asyncio.sleep(TASK_UPDATE_SECONDS)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _update_tasks(self) -> None:
        count = len(self._registry.peers) + 1
        self._ranked = self._registry.select_gateways(RELAY, count)
        selected = self._ranked[:DIRECT_GATEWAYS]
        if any(self._registry.is_own(name) for name in selected):
            wanted = {store.address for store in self._index.stores}
        else:
            wanted = {RELAY}
        # A task ends when its store is no longer declared; the store may be declared
        # again.
        finished = [n for n, t in self._tasks.items() if n not in wanted or t.done()]
        for name in finished:
            self._tasks.pop(name).cancel()
        for name in wanted - self._tasks.keys():
            work = self._poll_gateways() if name == RELAY else self._poll_store(name)
            self._tasks[name] = asyncio.create_task(work)

    async def _poll_gateways(self) -> None:
        """Poll the preferred gateway; for a while another one if it has no updates."""
        log.info("polling gateways for part updates")
        failures = 0
        failed_at = 0.0
        while True:
            if failures and read_clock() - failed_at > FALLBACK_SECONDS:
                failures = 0
            sources = self._list_sources()
            if not sources:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            gateway = sources[failures % len(sources)]
            response = await self._relay.request(gateway)
            if isinstance(response, Err) or not response.ok_value:
                reason = (
                    response.err_value if isinstance(response, Err) else "no updates"
                )
                log.warning(
                    "no part updates from gateway", gateway=str(gateway), reason=reason
                )
                failures += 1
                failed_at = read_clock()
            await asyncio.sleep(self._find_poll_delay())

    def _list_sources(self) -> list[Endpoint]:
        """Return the gateways that may be polled, the preferred one first."""
        ranked = self._ranked
        ancestors = list_ancestors(self._find_rank(), len(ranked), DIRECT_GATEWAYS)
        others = list(range(DIRECT_GATEWAYS))
        self._random.shuffle(others)
        peers = self._registry.peers
        return [
            peers[ranked[rank]]
            for rank in (*ancestors, *others)
            if ranked[rank] in peers
        ]

    def _find_poll_delay(self) -> float:
        rank, count = self._find_rank(), len(self._ranked)
        is_polled = has_children(rank, count, DIRECT_GATEWAYS)
        return INNER_POLL_SECONDS if is_polled else RELAY_POLL_SECONDS

    def _find_rank(self) -> int:
        """Return this gateway's place in the order; the last until it registered."""
        is_own = self._registry.is_own
        ranks = (rank for rank, name in enumerate(self._ranked) if is_own(name))
        return next(ranks, len(self._ranked) - 1)

    async def _poll_store(self, address: str) -> None:
        position = 0
        answered = False
        while True:
            sent_at = read_clock()
            response = await self._client.read_updates(
                address, position, POLL_TIMEOUT_SECONDS
            )
            store = self._index.find(address)
            if store is None:
                return
            if isinstance(response, Err):
                store.invalidate()
                position = 0
                if answered:
                    log.warning("store lost", store=address, reason=response.err_value)
                answered = False
                await asyncio.sleep(RETRY_SECONDS)
                continue
            found = response.ok_value
            if store.apply_update(sent_at, read_clock(), found.update):
                log.info("store regained", store=address, epoch=found.update.epoch)
                # The parts from before its restart are gone; request all changes since.
                position = 0 if answered else found.position
            else:
                position = found.position
            answered = True
            await asyncio.sleep(POLL_PAUSE_SECONDS)
