"""Requests that wait for room at a target, and wakes them in order."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bamboopier_decisions.forwarding.wait_queue import WaitQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from bamboopier_decisions.forwarding.fleet import InFlightRequest

# Requests tried at each end of another: the first that still finds no room shows that
# those behind it need not be tried, unless they need less.
TRIED_AT_ONCE = 4
# Seconds between two searches without any event: pauses of targets end with time.
TICK_SECONDS = 0.05


@dataclass(slots=True)
class _Waiting:
    find: Callable[[], InFlightRequest | None]
    found: asyncio.Future[InFlightRequest]


class WaitingRoom:
    """Holds waiting requests by service."""

    def __init__(self) -> None:
        self._queues: dict[str, WaitQueue] = {}
        self._waiting: dict[tuple[str, int], _Waiting] = {}

    def count(self, service: str) -> int:
        """Return the requests that wait for a service."""
        queue = self._queues.get(service)
        return len(queue) if queue is not None else 0

    def count_before(self, service: str, priority: int) -> int:
        """Return the waiting requests that go before a new one of ``priority``."""
        queue = self._queues.get(service)
        return queue.count_before(priority) if queue is not None else 0

    async def wait(
        self,
        service: str,
        priority: int,
        seconds: float,
        find: Callable[[], InFlightRequest | None],
        take_back: Callable[[InFlightRequest], None],
    ) -> InFlightRequest | None:
        """Wait until ``find`` returns a place; None when ``seconds`` have passed.

        A caller may leave between the moment in which a place is counted for it and
        the one in which its task runs again. Nobody would end that request, and its
        target would look busier for ever: the place is given to ``take_back``.
        """
        queue = self._queues.setdefault(service, WaitQueue())
        ticket = queue.add(priority)
        found: asyncio.Future[InFlightRequest] = asyncio.get_running_loop().create_future()
        self._waiting[service, ticket] = _Waiting(find, found)
        try:
            async with asyncio.timeout(seconds):
                return await found
        except TimeoutError:
            return _get_place(found)
        except asyncio.CancelledError:
            sent = _get_place(found)
            if sent is not None:
                take_back(sent)
            raise
        finally:
            del self._waiting[service, ticket]
            queue.remove(ticket)

    def wake(self, service: str) -> None:
        """Look for places for the first waiting requests of a service."""
        queue = self._queues.get(service)
        if queue is None or not len(queue):
            return
        for ticket in queue.list_tickets(TRIED_AT_ONCE):
            waiting = self._waiting.get((service, ticket))
            if waiting is None or waiting.found.done():
                continue
            sent = waiting.find()
            if sent is not None:
                waiting.found.set_result(sent)

    async def run(self) -> None:
        """Wake all services at intervals until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for service in self._queues:
                self.wake(service)


def _get_place(found: asyncio.Future[InFlightRequest]) -> InFlightRequest | None:
    """Return the place that was found, if one was."""
    return found.result() if found.done() and not found.cancelled() else None
