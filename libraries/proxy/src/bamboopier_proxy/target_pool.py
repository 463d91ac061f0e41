"""Connections to targets, kept while they are likely to stand.

Load pattern: hundreds of short requests a second, each of which would cost a handshake
at the target. Kept connections cost none, but one that the target has just closed loses
the request that is sent on it; what may run only once is sent only on a connection that
was used a moment ago.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from bamboopier_daemon.clock import read_clock

from .target_connection import TargetConnection

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Self

    from bamboopier_decisions.forwarding.specs import TargetEntry

# A connection in the same region stands within milliseconds; a lost packet is sent
# again after a second, by which time another target is the better choice.
CONNECT_SECONDS = 0.9
# Seconds of idleness after which a connection is not trusted with a request that may
# run only once.
FRESH_SECONDS = 2.0
# Seconds between two searches for connections that stood idle too long.
SWEEP_SECONDS = 1.0


class ConnectError(Exception):
    """No connection came about: nothing was sent."""


class TargetPool:
    """Idle connections by target start; close all by leaving the context."""

    def __init__(self, id_header: str) -> None:
        self._id_header = id_header
        self._idle: dict[tuple[str, int], list[TargetConnection]] = {}
        self._open: dict[tuple[str, int], set[TargetConnection]] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for connections in self._open.values():
            for connection in connections:
                connection.abort()

    async def take(self, entry: TargetEntry, *, fresh: bool) -> TargetConnection:
        """Return a connection; raises ``ConnectError``.

        ``fresh`` asks for one that was used a moment ago, or a new one.
        """
        key = (entry.name, entry.started_ms)
        now = read_clock()
        idle = self._idle.get(key, [])
        while idle:
            connection = idle.pop()
            rested = now - connection.idle_since
            limit = connection.idle_limit
            if fresh:
                limit = min(limit, FRESH_SECONDS)
            if connection.is_open and rested < limit:
                return connection
            self._forget(key, connection)
        return await self._connect(key, entry)

    def give_back(self, entry: TargetEntry, connection: TargetConnection) -> None:
        """Keep a connection after a whole answer, or drop it."""
        key = (entry.name, entry.started_ms)
        if connection.release():
            self._idle.setdefault(key, []).append(connection)
        else:
            self._forget(key, connection)

    def give_back_unused(
        self, entry: TargetEntry, connection: TargetConnection
    ) -> None:
        """Keep a connection on which nothing was sent."""
        connection.idle_since = read_clock()
        self._idle.setdefault((entry.name, entry.started_ms), []).append(connection)

    def drop(self, entry: TargetEntry, connection: TargetConnection) -> None:
        """End a connection whose answer is not wanted, or not whole."""
        self._forget((entry.name, entry.started_ms), connection)

    def sweep(self) -> None:
        """End connections that stood idle too long."""
        now = read_clock()
        for key, idle in list(self._idle.items()):
            for connection in list(idle):
                rested = now - connection.idle_since
                if not connection.is_open or rested >= connection.idle_limit:
                    idle.remove(connection)
                    self._forget(key, connection)
            if not idle:
                del self._idle[key]

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_SECONDS)
            self.sweep()

    async def _connect(
        self, key: tuple[str, int], entry: TargetEntry
    ) -> TargetConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: TargetConnection(self._id_header, read_clock),
                    entry.host,
                    entry.port,
                )
        except (OSError, TimeoutError) as error:
            text = str(error) or type(error).__name__
            raise ConnectError(f"{entry.host}:{entry.port}: {text}") from error
        self._open.setdefault(key, set()).add(connection)
        return connection

    def _forget(self, key: tuple[str, int], connection: TargetConnection) -> None:
        connection.abort()
        standing = self._open.get(key)
        if standing is not None:
            standing.discard(connection)
            if not standing:
                del self._open[key]
