"""The open connections of one listener: their places, their memory, their turns."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING, Protocol

from bamboopier_decisions.connections.yielding import (
    Connection,
    Refusals,
    may_yield_memory,
    may_yield_place,
    order_by_yielding,
)

from .limits import Places, Problem

if TYPE_CHECKING:
    from collections.abc import Callable

    from .closed_connections import ClosedConnections

# Seconds for which an order of connections holds, and between two orders if all in it
# have given way: sorting thousands for each new connection would take all the time.
ORDER_SECONDS = 0.25
MIN_ORDER_SECONDS = 0.02
# Bytes of bodies that are parsed in one iteration of the event loop: some milliseconds
# of chunks of one byte, after which others get their turn.
TURN_BYTES = 512 * 1024


class Member(Connection, Protocol):
    """A connection in the table."""

    @property
    def is_active(self) -> bool:
        """Return whether a complete request is in progress, or it is being closed."""
        ...

    @property
    def input_bytes(self) -> int:
        """Return the bytes of its requests that it has acquired."""
        ...

    def give_way(self, problem: Problem) -> None:
        """Close at once; a request that has begun did not run."""
        ...

    def continue_reading(self) -> None:
        """Process what was received and had to wait."""
        ...


class ConnectionTable:
    """Counts and limits what the connections of one listener hold together."""

    def __init__(
        self,
        places: Places,
        closed: ClosedConnections,
        read_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._places = places
        self.closed = closed
        self._read_clock = read_clock
        self._members: set[Member] = set()
        # Those that have given way, until their connections are closed.
        self._yielded: set[Member] = set()
        self._all_closed = asyncio.Event()
        self._all_closed.set()
        self._input_bytes = 0
        # Bytes of unread responses, in the order in which they became unread.
        self._unread: dict[Member, int] = {}
        self._output_bytes = 0
        # Those that give way next, the first one last.
        self._order: list[Member] = []
        self._ordered_at = -ORDER_SECONDS
        self._refusals = Refusals()
        self._turn_bytes = 0
        self._is_turn_scheduled = False
        self._waiting: deque[Member] = deque()

    @property
    def count(self) -> int:
        """Return the number of connections that are not closed yet."""
        return len(self._members) + len(self._yielded)

    @property
    def input_bytes(self) -> int:
        """Return the bytes that requests hold, besides the bodies passed on."""
        return self._input_bytes

    async def wait_until_all_closed(self) -> None:
        """Return once no connection is open.

        A connection that is being closed counts until the kernel has accepted all bytes
        written to it. It delivers them after the process has ended, too.
        """
        await self._all_closed.wait()

    def add(self, connection: Member) -> bool:
        """Give a place to a new connection; return False if none gives way."""
        now = self._read_clock()
        while len(self._members) >= self._places.connections:
            yielding = self._find_yielding(
                lambda member: may_yield_place(member, self._refusals, now)
            )
            if yielding is None:
                self._refusals.add(now)
                return False
            self._members.discard(yielding)
            self._yielded.add(yielding)
            self._close(yielding, Problem.NO_PLACE)
        self._members.add(connection)
        self._all_closed.clear()
        return True

    def remove(self, connection: Member) -> None:
        """Forget a closed connection."""
        self._members.discard(connection)
        self._yielded.discard(connection)
        self.release_output(connection)
        if not self._members and not self._yielded:
            self._all_closed.set()

    def acquire_input(self, connection: Member, size: int) -> bool:
        """Account for ``size`` more bytes of requests; return False if they don't fit.

        Others that bring less give way first.
        """
        while self._input_bytes + size > self._places.input_bytes:
            if not self.make_room(connection, size):
                return False
        self._input_bytes += size
        return True

    def release_input(self, size: int) -> None:
        """Account for bytes that are no longer held."""
        self._input_bytes -= size

    def make_room(self, connection: Member, size: int) -> bool:
        """Close an unfinished request for one of ``size`` bytes; False without one."""
        now = self._read_clock()
        yielding = self._find_yielding(
            lambda member: (
                member is not connection
                and may_yield_memory(member, size, self._refusals, now)
            )
        )
        if yielding is None:
            self._refusals.add(now)
            return False
        self._close(yielding, Problem.NO_MEMORY)
        return True

    def acquire_output(self, connection: Member, size: int) -> None:
        """Account for a response that its client does not read.

        Beyond the limit the ones that have been unread for longest are cut. A response
        that is alone is sent, whatever its size.
        """
        self.release_output(connection)
        self._unread[connection] = size
        self._output_bytes += size
        while self._output_bytes > self._places.output_bytes and len(self._unread) > 1:
            oldest = next(iter(self._unread))
            self.release_output(oldest)
            self._close(oldest, Problem.UNREAD_RESPONSE)

    def release_output(self, connection: Member) -> None:
        """Account for a response that was read, or dropped."""
        self._output_bytes -= self._unread.pop(connection, 0)

    def take_turn(self, connection: Member, size: int) -> bool:
        """Return whether a connection may parse ``size`` bytes of a body now.

        Otherwise it waits for ``continue_reading``. Guards against a crowd whose bodies
        keep the event loop busy for seconds while everybody else waits.
        """
        if self._turn_bytes >= TURN_BYTES:
            self._waiting.append(connection)
            return False
        self._turn_bytes += size
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_turn)
        return True

    def _begin_turn(self) -> None:
        self._is_turn_scheduled = False
        self._turn_bytes = 0
        for _ in range(len(self._waiting)):
            if self._turn_bytes >= TURN_BYTES:
                return
            self._waiting.popleft().continue_reading()

    def _find_yielding(self, may_yield: Callable[[Member], bool]) -> Member | None:
        """Return the connection that gives way next, None if there is none."""
        if self._read_clock() - self._ordered_at > ORDER_SECONDS:
            self._sort()
        for _ in range(2):
            for position in reversed(range(len(self._order))):
                member = self._order[position]
                if member.is_active or member not in self._members:
                    del self._order[position]
                elif may_yield(member):
                    return self._order.pop(position)
            if not self._sort():
                return None
        return None

    def _sort(self) -> bool:
        """Order all members again, unless that was done a moment ago."""
        now = self._read_clock()
        if now - self._ordered_at < MIN_ORDER_SECONDS:
            return False
        self._ordered_at = now
        members = (m for m in self._members if not m.is_active)
        self._order = order_by_yielding(members, now)
        self._order.reverse()
        return True

    def _close(self, connection: Member, problem: Problem) -> None:
        self.closed.add(
            problem,
            held_bytes=connection.input_bytes,
            answered=connection.answered,
        )
        connection.give_way(problem)
