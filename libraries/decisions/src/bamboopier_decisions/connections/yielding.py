"""Chooses the connections that give way when all places or all memory are taken.

Load pattern: a crowd connects and sends nothing, or all but the end of its requests,
and stays. Without this choice it holds every place for as long as it likes, and callers
who come later are refused. Who brings least gives way first: an ordinary request is
complete a moment after its connection, and is never among them from then on.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

# Bytes a second from which an unfinished request counts as arriving: a caller on a poor
# link sends more.
ARRIVING_BYTES_PER_SECOND = 2000.0
# Seconds in which a connection may begin a request, and complete a small one, before
# it counts as one that brings nothing: several round trips on a slow path.
GRACE_SECONDS = 1.0
# Bytes from which an unfinished request is large. In a crowd it gives way to small
# ones whatever its pace: a few would hold all memory while ordinary callers wait.
LARGE_BYTES = 64 * 1024
# Refusals in one second from which there is a crowd. Even new connections give way
# then: in a crowd that comes again and again, all are new.
CROWD_REFUSALS = 8
CROWD_SECONDS = 1.0


class Standing(enum.IntEnum):
    """Groups of connections, in the order in which they give way."""

    # Nothing, or hardly anything, arrives of a request.
    STALLED = 0
    # No request is in progress, and at least one was answered before.
    IDLE = 1
    # A request arrives at a fair pace.
    ARRIVING = 2
    # Too young to be judged.
    NEW = 3


class Connection(Protocol):
    """What is known of a connection without a complete request."""

    @property
    def since(self) -> float:
        """Return when it was opened, its last response ended or its request began."""
        ...

    @property
    def has_begun(self) -> bool:
        """Return whether a part of a request has arrived."""
        ...

    @property
    def answered(self) -> int:
        """Return the number of requests that were answered on it."""
        ...

    @property
    def request_bytes(self) -> int:
        """Return the bytes that have arrived of its unfinished request."""
        ...

    def measure_pace(self, now: float) -> float:
        """Return the bytes a second that it has sent lately."""
        ...


C = TypeVar("C", bound=Connection)


def judge(connection: Connection, now: float) -> Standing:
    """Return the group of a connection."""
    if now - connection.since < GRACE_SECONDS:
        return Standing.NEW
    if not connection.has_begun:
        return Standing.IDLE if connection.answered else Standing.STALLED
    if connection.measure_pace(now) < ARRIVING_BYTES_PER_SECOND:
        return Standing.STALLED
    return Standing.ARRIVING


class Refusals:
    """Tells a crowd from a short peak, by what had to be refused."""

    __slots__ = ("_count", "_since")

    def __init__(self) -> None:
        self._count = 0
        self._since = -CROWD_SECONDS

    def add(self, now: float) -> None:
        """Count a connection or request for which there was no room."""
        if now - self._since >= CROWD_SECONDS:
            self._since = now
            self._count = 0
        self._count += 1

    def show_crowd(self, now: float) -> bool:
        """Return whether so many were refused lately that they are a crowd."""
        is_recent = now - self._since < 2 * CROWD_SECONDS
        return is_recent and self._count >= CROWD_REFUSALS


def may_yield_memory(
    connection: Connection, for_bytes: int, refusals: Refusals, now: float
) -> bool:
    """Return whether its memory may go to a request of ``for_bytes`` bytes."""
    if connection.request_bytes == 0:
        return False
    if judge(connection, now) is Standing.STALLED:
        return True
    is_larger = for_bytes <= LARGE_BYTES < connection.request_bytes
    return is_larger and refusals.show_crowd(now)


def may_yield_place(connection: Connection, refusals: Refusals, now: float) -> bool:
    """Return whether its place may go to a new connection."""
    return judge(connection, now) is not Standing.NEW or refusals.show_crowd(now)


def order_by_yielding(connections: Iterable[C], now: float) -> list[C]:
    """Return connections in the order in which they give way.

    Within a group the slowest goes first, and of equally slow ones the oldest.
    """
    return sorted(
        connections, key=lambda c: (judge(c, now), c.measure_pace(now), c.since)
    )
