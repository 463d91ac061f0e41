"""Queues requests that wait for capacity at a target, and wakes them in order."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from bamboopier_decisions.forwarding.wait_queue import WaitQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from bamboopier_decisions.forwarding.fleet import InFlightRequest

# Requests that find no capacity until those behind them are no longer tried: they
# rarely find any, unless they require less.
MAX_FAILED_PER_WAKE = 4
# Requests tried whenever another one ends, or capacity is borrowed.
MAX_TRIED_PER_WAKE = 32
# Seconds between two searches without an event: the back-off of a target ends by time.
WAKE_INTERVAL_SECONDS = 0.05


class _PendingRequest:
    __slots__ = ("acquired", "try_acquire")

    def __init__(
        self,
        try_acquire: Callable[[], InFlightRequest | None],
        acquired: asyncio.Future[InFlightRequest],
    ) -> None:
        self.try_acquire = try_acquire
        self.acquired = acquired


class RequestQueues:
    """Holds the waiting requests of each service."""

    def __init__(self) -> None:
        self._queues: dict[str, WaitQueue] = {}
        self._pending: dict[tuple[str, int], _PendingRequest] = {}

    def count(self, service: str) -> int:
        """Return the number of requests that wait for a service."""
        queue = self._queues.get(service)
        return len(queue) if queue is not None else 0

    def list_waiting(self) -> list[str]:
        """Return the services that requests wait for."""
        return [service for service, queue in self._queues.items() if len(queue)]

    def count_before(self, service: str, priority: int) -> int:
        """Return the number of waiting requests ahead of a new one of ``priority``."""
        queue = self._queues.get(service)
        return queue.count_before(priority) if queue is not None else 0

    async def wait(
        self,
        service: str,
        priority: int,
        seconds: float,
        try_acquire: Callable[[], InFlightRequest | None],
        release: Callable[[InFlightRequest], None],
    ) -> InFlightRequest | None:
        """Wait until ``try_acquire`` returns a slot; None after ``seconds``.

        A caller may disconnect after a slot was acquired for it and before its task
        runs again. No request would use the slot, and its target would look busier for
        ever; the slot is therefore passed to ``release``.
        """
        queue = self._queues.setdefault(service, WaitQueue())
        ticket = queue.add(priority)
        acquired: asyncio.Future[InFlightRequest] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[service, ticket] = _PendingRequest(try_acquire, acquired)
        try:
            async with asyncio.timeout(seconds):
                return await acquired
        except TimeoutError:
            # What has become free since the last search is not lost.
            return _get_acquired(acquired) or try_acquire()
        except asyncio.CancelledError:
            in_flight = _get_acquired(acquired)
            if in_flight is not None:
                release(in_flight)
            raise
        finally:
            del self._pending[service, ticket]
            queue.remove(ticket)

    def wake(self, service: str) -> None:
        """Try to acquire slots for the first waiting requests of a service."""
        queue = self._queues.get(service)
        if queue is None or not len(queue):
            return
        failed = 0
        for ticket in queue.list_tickets(MAX_TRIED_PER_WAKE):
            waiting = self._pending.get((service, ticket))
            if waiting is None or waiting.acquired.done():
                continue
            in_flight = waiting.try_acquire()
            if in_flight is not None:
                waiting.acquired.set_result(in_flight)
                continue
            failed += 1
            if failed == MAX_FAILED_PER_WAKE:
                return

    async def run(self) -> None:
        """Wake all services at intervals until cancelled."""
        while True:
            await asyncio.sleep(WAKE_INTERVAL_SECONDS)
            for service in self._queues:
                self.wake(service)


def _get_acquired(acquired: asyncio.Future[InFlightRequest]) -> InFlightRequest | None:
    """Return the acquired slot, or None."""
    return acquired.result() if acquired.done() and not acquired.cancelled() else None
