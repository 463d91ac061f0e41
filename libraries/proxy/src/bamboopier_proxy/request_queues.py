"""Queues requests that wait for capacity at a target, and wakes them in order."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.contention.departure_rate import DepartureRate
from bamboopier_decisions.contention.fair_queue import FairQueue
from bamboopier_decisions.contention.return_times import ReturnTimes

if TYPE_CHECKING:
    import random
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


class _ServiceQueue:
    """The waiting requests of one service, and how fast they are let go."""

    __slots__ = ("departures", "requests", "returns")

    def __init__(self) -> None:
        self.requests = FairQueue()
        self.departures = DepartureRate()
        # Of those that were refused, by priority.
        self.returns: dict[int, ReturnTimes] = {}


class RequestQueues:
    """Holds the waiting requests of each service."""

    def __init__(self) -> None:
        self._queues: dict[str, _ServiceQueue] = {}
        self._pending: dict[tuple[str, int], _PendingRequest] = {}

    def count(self, service: str) -> int:
        """Return the number of requests that wait for a service."""
        queue = self._queues.get(service)
        return len(queue.requests) if queue is not None else 0

    def list_waiting(self) -> list[str]:
        """Return the services that requests wait for."""
        return [s for s, queue in self._queues.items() if len(queue.requests)]

    def count_before(self, service: str, priority: int, workspace: str) -> int:
        """Return the number of waiting requests ahead of a new one."""
        queue = self._queues.get(service)
        return queue.requests.count_before(priority, workspace) if queue else 0

    def estimate_wait(
        self, service: str, priority: int, workspace: str, capacity: float
    ) -> float:
        """Return the seconds for which a new request would wait; 0 if unknown.

        ``capacity`` is what the service is known to take a second from this gateway.
        """
        queue = self._queues.get(service)
        if queue is None:
            return 0.0
        before = queue.requests.count_before(priority, workspace)
        return queue.departures.estimate_wait(read_clock(), before, capacity, priority)

    def plan_return(
        self, service: str, priority: int, max_seconds: float, random: random.Random
    ) -> float:
        """Return the seconds after which a caller that is refused can be served."""
        queue = self._queues.get(service)
        if queue is None:
            return 0.0
        now = read_clock()
        times = queue.returns.setdefault(priority, ReturnTimes())
        rate = queue.departures.find_rate(now, priority)
        return times.plan_return(now, rate, max_seconds, random)

    def record_sent(self, service: str, priority: int) -> None:
        """Record a request that found a target without waiting."""
        queue = self._queues.setdefault(service, _ServiceQueue())
        queue.departures.record_departure(read_clock(), priority)

    async def wait(
        self,
        service: str,
        priority: int,
        seconds: float,
        try_acquire: Callable[[], InFlightRequest | None],
        release: Callable[[InFlightRequest], None],
        *,
        workspace: str = "",
        spare_seconds: float = math.inf,
    ) -> InFlightRequest | None:
        """Wait until ``try_acquire`` returns a slot; None after ``seconds``.

        After ``spare_seconds`` the request can't be answered in time any more.

        A caller may disconnect after a slot was acquired for it and before its task
        runs again. No request would use the slot, and its target would look busier for
        ever; the slot is therefore passed to ``release``.
        """
        queue = self._queues.setdefault(service, _ServiceQueue())
        now = read_clock()
        ticket = queue.requests.add(priority, workspace, now + spare_seconds)
        queue.departures.record_waiting(now, is_waiting=True)
        acquired: asyncio.Future[InFlightRequest] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[service, ticket] = _PendingRequest(try_acquire, acquired)
        found: InFlightRequest | None = None
        try:
            async with asyncio.timeout(seconds):
                found = await acquired
        except TimeoutError:
            # What has become free since the last search is not lost.
            found = _get_acquired(acquired) or try_acquire()
        except asyncio.CancelledError:
            in_flight = _get_acquired(acquired)
            if in_flight is not None:
                release(in_flight)
            raise
        finally:
            del self._pending[service, ticket]
            self._remove(queue, ticket, priority, served=found is not None)
        return found

    def _remove(
        self, queue: _ServiceQueue, ticket: int, priority: int, *, served: bool
    ) -> None:
        queue.requests.remove(ticket, served=served)
        now = read_clock()
        if served:
            queue.departures.record_departure(now, priority)
        if not len(queue.requests):
            queue.departures.record_waiting(now, is_waiting=False)

    def wake(self, service: str) -> None:
        """Try to acquire slots for the first waiting requests of a service."""
        queue = self._queues.get(service)
        if queue is None or not len(queue.requests):
            return
        failed = 0
        now = read_clock()
        for ticket in queue.requests.list_tickets(MAX_TRIED_PER_WAKE, now):
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
