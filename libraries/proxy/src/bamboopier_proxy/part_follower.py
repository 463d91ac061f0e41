"""Follows what lies whole in the stores of kept parts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import structlog
from result import Err, Result

from bamboopier_daemon.clock import read_clock

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.kept_parts import KeptParts, PartNews

# Seconds a question waits for news; stores charge for shorter ones than 0.2 s.
WAIT_SECONDS = 0.4
# Seconds between two looks at the declared stores.
ARRANGE_SECONDS = 1.0
# Seconds between two questions: news arrive in groups, and beliefs stay fresh.
PAUSE_SECONDS = 0.25
# Seconds between two questions to a store that does not answer.
RETRY_SECONDS = 0.4

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class PartAnswer:
    """News with the place from which to ask on."""

    news: PartNews
    position: int


class PartStores(Protocol):
    """Calls to the stores."""

    async def read_news(
        self, address: str, position: int, seconds: float
    ) -> Result[PartAnswer, str]:
        """Wait up to ``seconds`` for what changed after ``position``."""
        ...


class PartFollower:
    """One task for each declared store."""

    def __init__(self, stores: PartStores, kept: KeptParts) -> None:
        self._stores = stores
        self._kept = kept
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Start and end tasks as stores come and go, until cancelled."""
        try:
            while True:
                self._arrange()
                await asyncio.sleep(ARRANGE_SECONDS)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def _arrange(self) -> None:
        wanted = {store.address for store in self._kept.stores}
        for address in [a for a in self._tasks if a not in wanted]:
            self._tasks.pop(address).cancel()
        for address in wanted - self._tasks.keys():
            self._tasks[address] = asyncio.create_task(self._follow(address))

    async def _follow(self, address: str) -> None:
        position = 0
        answered = False
        while True:
            asked = read_clock()
            answer = await self._stores.read_news(address, position, WAIT_SECONDS)
            store = self._kept.find(address)
            if store is None:
                return
            if isinstance(answer, Err):
                store.lose()
                position = 0
                if answered:
                    log.warning("store lost", store=address, reason=answer.err_value)
                answered = False
                await asyncio.sleep(RETRY_SECONDS)
                continue
            found = answer.ok_value
            if store.take(asked, found.news):
                log.info("store regained", store=address, epoch=found.news.epoch)
                # What lay there before its start is gone; ask from its beginning.
                position = 0 if answered else found.position
            else:
                position = found.position
            answered = True
            await asyncio.sleep(PAUSE_SECONDS)
