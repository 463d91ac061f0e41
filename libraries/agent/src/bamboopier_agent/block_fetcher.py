"""Brings the blocks an engine lacks, each at most once at a time."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from result import Err, Result

from .store_errors import StoreError, StoreLateError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bamboopier_decisions.context.block_name import BlockName

    from .store_link import StoreLink

# Reads on their way at once for one request: enough to fill a link over a few
# milliseconds of delay, few enough that little is wasted when one of them misses.
PARALLEL_READS = 4
# Bytes on their way at once for one request: large blocks fill the link by themselves,
# and four of them would take the agent's memory.
PARALLEL_BYTES = 64 * 1024 * 1024


class _Flight:
    """One read under way and the number of requests that wait for it."""

    __slots__ = ("give_up_at", "task", "waiters")

    def __init__(
        self, task: asyncio.Task[Result[bytes, StoreError]], give_up_at: float
    ) -> None:
        self.task = task
        # The read ends by itself at this time at the latest.
        self.give_up_at = give_up_at
        self.waiters = 0


class BlockFetcher:
    """Reads runs of blocks; concurrent requests for a block share one read."""

    def __init__(self, link: StoreLink) -> None:
        self._link = link
        self._flights: dict[bytes, _Flight] = {}

    def open(
        self, names: Sequence[BlockName], secret: bytes, version: str, give_up_at: float
    ) -> BlockReader:
        """Return a reader of ``names`` in order; close it by leaving its context."""
        return BlockReader(self, names, secret, version, give_up_at)

    def count_ahead(self) -> int:
        """Return how many reads one request may have under way."""
        size = self._link.estimate_block_bytes()
        return max(1, min(PARALLEL_READS, int(PARALLEL_BYTES / max(1.0, size))))

    def join(
        self, name: BlockName, secret: bytes, version: str, give_up_at: float
    ) -> _Flight:
        """Return the read of a block under way, started if there is none."""
        # The key is a keyed hash over workspace, model and version: equal keys are
        # the same block of the same workspace, so sharing a read crosses nothing.
        flight = self._flights.get(name.key)
        if flight is None:
            read = self._link.read_proved(name, secret, version, give_up_at)
            task = asyncio.get_running_loop().create_task(read)
            flight = _Flight(task, give_up_at)
            self._flights[name.key] = flight
            task.add_done_callback(lambda done: self._forget(name.key, done))
        flight.waiters += 1
        return flight

    def leave(self, key: bytes, flight: _Flight) -> None:
        """One request waits no longer; the last one out ends the read."""
        flight.waiters -= 1
        if flight.waiters == 0 and not flight.task.done():
            # Forgotten first: a request that comes now must not join a dying read.
            self._forget(key, flight.task)
            flight.task.cancel()

    def _forget(self, key: bytes, task: asyncio.Task[Any]) -> None:
        flight = self._flights.get(key)
        if flight is not None and flight.task is task:
            del self._flights[key]


class BlockReader:
    """Reads one request's blocks, a few ahead of the one that is wanted next."""

    def __init__(
        self,
        fetcher: BlockFetcher,
        names: Sequence[BlockName],
        secret: bytes,
        version: str,
        give_up_at: float,
    ) -> None:
        self._fetcher = fetcher
        self._names = names
        self._secret = secret
        self._version = version
        self._give_up_at = give_up_at
        self._flights: list[_Flight] = []
        self._next = 0
        self._ahead = fetcher.count_ahead()

    async def __aenter__(self) -> BlockReader:
        return self

    async def __aexit__(self, *_: object) -> None:
        for name, flight in zip(self._names, self._flights, strict=False):
            self._fetcher.leave(name.key, flight)

    async def read_next(self) -> Result[bytes, StoreError]:
        """Return the next block's payload."""
        self._start_ahead()
        flight = self._flights[self._next]
        self._next += 1
        timeout = None
        if flight.give_up_at > self._give_up_at:
            # The read was started by a request with more patience than this one.
            timeout = max(0.0, self._give_up_at - time.monotonic())
        await asyncio.wait({flight.task}, timeout=timeout)
        if not flight.task.done():
            return Err(StoreLateError())
        return flight.task.result()

    def _start_ahead(self) -> None:
        ahead = self._names[len(self._flights) : self._next + self._ahead]
        for name in ahead:
            self._flights.append(
                self._fetcher.join(name, self._secret, self._version, self._give_up_at)
            )
