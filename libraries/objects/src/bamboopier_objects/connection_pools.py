"""Pools of connections to hosts, which are replaced when a connection goes silent.

Guards against calls that time out one after the other: when a middlebox or a host drops
the state of its connections, all connections that were open go silent together, without
a reset, while new ones work. A call that times out on one of them would be followed by
a call on the next one in the pool, and time out, too.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from types import TracebackType

    import aiohttp

# Seconds after which the pool of a host that is no longer called is closed.
UNUSED_SECONDS = 60.0


class _Pool:
    """The connections to one host, and the number of calls that use them."""

    __slots__ = ("calls", "session", "used_at")

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.calls = 0
        self.used_at = 0.0


class ConnectionPools:
    """One pool for each host; leaving the context closes them all."""

    def __init__(self, make_session: Callable[[], aiohttp.ClientSession]) -> None:
        self._make_session = make_session
        self._pools: dict[str, _Pool] = {}
        # Replaced pools with calls that have not ended.
        self._retired: set[_Pool] = set()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        pools = [*self._pools.values(), *self._retired]
        self._pools.clear()
        self._retired.clear()
        for pool in pools:
            await pool.session.close()

    @asynccontextmanager
    async def use(self, host: str) -> AsyncIterator[aiohttp.ClientSession]:
        """Yield a session for one call; a timeout within it replaces the pool.

        So does a call that is cancelled: its caller knows that the connection stalled.
        Calls in flight go on: some of the other connections may be sound.
        """
        await self._close_unused()
        pool = self._pools.get(host)
        if pool is None:
            pool = self._pools[host] = _Pool(self._make_session())
        pool.calls += 1
        try:
            yield pool.session
        except (TimeoutError, asyncio.CancelledError):
            if self._pools.get(host) is pool:
                del self._pools[host]
                self._retired.add(pool)
            raise
        finally:
            pool.calls -= 1
            pool.used_at = asyncio.get_running_loop().time()
            await self._close_if_idle(pool)

    @asynccontextmanager
    async def use_new(self, host: str) -> AsyncIterator[aiohttp.ClientSession]:
        """Yield a session without open connections for one call.

        It replaces the host's pool once the call has succeeded, and is closed if not.
        """
        new = _Pool(self._make_session())
        self._retired.add(new)
        new.calls += 1
        try:
            yield new.session
            await self._replace(host, new)
        finally:
            new.calls -= 1
            new.used_at = asyncio.get_running_loop().time()
            await self._close_if_idle(new)

    async def _replace(self, host: str, new: _Pool) -> None:
        old = self._pools.get(host)
        self._pools[host] = new
        self._retired.discard(new)
        if old is not None:
            self._retired.add(old)
            await self._close_if_idle(old)

    async def _close_if_idle(self, pool: _Pool) -> None:
        """Close a replaced pool unless calls are in flight there."""
        if pool in self._retired and not pool.calls:
            self._retired.discard(pool)
            await pool.session.close()

    async def _close_unused(self) -> None:
        oldest = asyncio.get_running_loop().time() - UNUSED_SECONDS
        unused = [
            h for h, p in self._pools.items() if not p.calls and p.used_at < oldest
        ]
        for pool in [self._pools.pop(host) for host in unused]:
            await pool.session.close()
