"""Stores the rate limits of targets for gateways that restart.

Guards against a simultaneous power loss of all gateways while a target is rate-limited:
no gateway could report the limit to the others, and until the target's first responses
each would send it all the requests of its callers.

This costs a few writes for each rate-limited period. An entry that was not removed is
harmless: the target's next response ends the limit.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.rate_limit import NEVER, LimitUpdate
from bamboopier_objects.decoding import BoundedFloat, BoundedInt

from .limit_updates import apply_limit_update
from .stored_records import CHECK_SECONDS, StoredRecords

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.fleet import Fleet

    from .gateway_registry import GatewayRegistry
    from .store_schema import Store

# Time for which an entry that was read waits for its target to be listed.
ENTRY_WAIT_SECONDS = 10.0
# A limit is rewritten if it is more than this factor above or below the stored value.
MIN_CHANGE_FACTOR = 2.0


class LimitEntry(msgspec.Struct):
    """Rate limit of one instance of a target."""

    # Start time of the target in milliseconds since 1970.
    born: BoundedInt
    # Requests a second from all gateways together.
    per_second: BoundedFloat


class LimitRecords:
    """Entries below a key prefix, one for each rate-limited target."""

    def __init__(
        self, store: Store, prefix: str, fleet: Fleet, registry: GatewayRegistry
    ) -> None:
        self._fleet = fleet
        self._records = StoredRecords(store, prefix, LimitEntry, _is_close, registry)
        # Entries that were read before their targets were listed.
        self._waiting: dict[str, LimitEntry] = {}
        # Whether the entries were read once.
        self.loaded = False

    async def run(self) -> None:
        """Read once, then write changes until cancelled."""
        self._waiting.update(await self._records.read())
        self.loaded = True
        expires_at = read_clock() + ENTRY_WAIT_SECONDS
        while True:
            self.apply_waiting()
            if self._waiting and read_clock() >= expires_at:
                self._waiting.clear()
            await self._write_all()
            await asyncio.sleep(CHECK_SECONDS)

    def apply_waiting(self) -> None:
        """Apply the entries whose targets are listed by now.

        Called whenever targets change: one that is used before its entry is applied
        would get a burst.
        """
        now = read_clock()
        for name, entry in list(self._waiting.items()):
            state = self._fleet.find(name)
            if state is None:
                continue
            del self._waiting[name]
            if state.entry.started_ms == entry.born:
                update = LimitUpdate(entry.per_second, now, NEVER, now)
                apply_limit_update(state, update, "store")

    async def _write_all(self) -> None:
        for name in self._fleet.names:
            state = self._fleet.find(name)
            if state is not None and state.rate_limit.in_force:
                limit = state.rate_limit.per_second
                await self._records.write(
                    name, LimitEntry(state.entry.started_ms, limit)
                )
        for name in [n for n in self._records.names if not self._is_needed(n)]:
            await self._records.remove(name)

    def _is_needed(self, name: str) -> bool:
        state = self._fleet.find(name)
        is_needed = state is not None and state.rate_limit.in_force
        return is_needed or name in self._waiting


def _is_close(stored: LimitEntry, entry: LimitEntry) -> bool:
    return (
        stored.born == entry.born
        and entry.per_second <= stored.per_second * MIN_CHANGE_FACTOR
        and stored.per_second <= entry.per_second * MIN_CHANGE_FACTOR
    )
