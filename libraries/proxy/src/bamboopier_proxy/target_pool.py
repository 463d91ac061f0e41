"""A pool of keep-alive connections to targets.

Load pattern: hundreds of short requests a second, each of which would cost a handshake
at the target. Reusing connections avoids it, but a request is lost if the target has
just closed its connection; a request that may run only once is therefore sent only on a
recently used connection.
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

# Connecting within a region takes milliseconds; a lost packet is retransmitted after a
# second, by which time another target is the better choice.
CONNECT_TIMEOUT_SECONDS = 0.9
# Seconds of idleness after which a connection is not used for a request that may run
# only once.
MAX_RECENT_IDLE_SECONDS = 2.0
# Seconds between two searches for connections that were idle for too long.
SWEEP_INTERVAL_SECONDS = 1.0


class ConnectError(Exception):
    """The connection could not be established; nothing was sent."""


class TargetRefusedError(Exception):
    """Nothing listens at the target's address."""


class TargetPool:
    """Keeps connections by target instance; leaving the context closes them all."""

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

    async def acquire(
        self, entry: TargetEntry, *, recently_used: bool
    ) -> TargetConnection:
        """Return a connection; raises ``ConnectError``.

        With ``recently_used``, an idle connection is reused only if it was used within
        ``MAX_RECENT_IDLE_SECONDS``.
        """
        key = (entry.name, entry.started_ms)
        now = read_clock()
        idle = self._idle.get(key, [])
        while idle:
            connection = idle.pop()
            idle_seconds = now - connection.idle_since
            limit = connection.idle_limit
            if recently_used:
                limit = min(limit, MAX_RECENT_IDLE_SECONDS)
            if connection.is_open and idle_seconds < limit:
                return connection
            self._close(key, connection)
        return await self._connect(key, entry)

    def release(self, entry: TargetEntry, connection: TargetConnection) -> None:
        """Return a connection to the pool after a complete response, or close it."""
        key = (entry.name, entry.started_ms)
        if connection.release():
            self._idle.setdefault(key, []).append(connection)
        else:
            self._close(key, connection)

    def release_unused(self, entry: TargetEntry, connection: TargetConnection) -> None:
        """Return an unused connection to the pool."""
        connection.idle_since = read_clock()
        self._idle.setdefault((entry.name, entry.started_ms), []).append(connection)

    def discard(self, entry: TargetEntry, connection: TargetConnection) -> None:
        """Close a connection whose response is not needed, or is incomplete."""
        self._close((entry.name, entry.started_ms), connection)

    async def check(self, entry: TargetEntry) -> None:
        """Connect to the target, and keep the connection.

        Raises ``TargetRefusedError`` if nothing listens there, and ``ConnectError`` if
        that cannot be told.
        """
        try:
            connection = await self._connect((entry.name, entry.started_ms), entry)
        except ConnectError as error:
            if isinstance(
                error.__cause__, ConnectionRefusedError | ConnectionResetError
            ):
                raise TargetRefusedError(str(error)) from error
            raise
        self.release_unused(entry, connection)

    def close_expired(self) -> None:
        """Close connections that were idle for too long."""
        now = read_clock()
        for key, idle in list(self._idle.items()):
            for connection in list(idle):
                idle_seconds = now - connection.idle_since
                if not connection.is_open or idle_seconds >= connection.idle_limit:
                    idle.remove(connection)
                    self._close(key, connection)
            if not idle:
                del self._idle[key]

    async def run(self) -> None:
        """Close expired connections at intervals until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
            self.close_expired()

    async def _connect(
        self, key: tuple[str, int], entry: TargetEntry
    ) -> TargetConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
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

    def _close(self, key: tuple[str, int], connection: TargetConnection) -> None:
        connection.abort()
        open_connections = self._open.get(key)
        if open_connections is not None:
            open_connections.discard(connection)
            if not open_connections:
                del self._open[key]
