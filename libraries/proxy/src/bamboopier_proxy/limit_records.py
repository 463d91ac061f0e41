"""Stores the rate limits of targets for gateways that restart.

Guards against a simultaneous power loss of all gateways while a target is rate-limited:
no gateway could report the limit to the others, and until the target's first responses
each would send it all the requests of its callers.

One gateway, which all gateways select alike, writes the entry of each target: a few
writes for each rate-limited period. A gateway that starts reads the entries once. An
entry that was not removed is harmless: the target's next response ends the limit.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import structlog
from result import Err

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.rate_limit import NEVER, LimitUpdate
from bamboopier_objects.errors import VersionConflictError
from bamboopier_objects.objects import ABSENT

from .limit_updates import apply_limit_update

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.fleet import Fleet
    from bamboopier_decisions.forwarding.target_state import TargetState
    from bamboopier_objects.errors import PlatformError

    from .gateway_registry import GatewayRegistry
    from .store_schema import Store

# Interval between checks for changes.
CHECK_SECONDS = 0.5
RETRY_SECONDS = 0.4
# Time for which an entry that was read waits for its target to be listed.
ENTRY_WAIT_SECONDS = 10.0
# A limit is rewritten if it is more than this factor above or below the stored value.
MIN_CHANGE_FACTOR = 2.0
# Key prefix of the selection of the gateway that writes.
WRITER = "limit-records"

log = structlog.get_logger()


class LimitEntry(msgspec.Struct):
    """Rate limit of one instance of a target."""

    # Start time of the target in milliseconds since 1970.
    born: int
    # Requests a second from all gateways together.
    per_second: float


class LimitRecords:
    """Entries below a key prefix, one for each rate-limited target."""

    def __init__(
        self, store: Store, prefix: str, fleet: Fleet, registry: GatewayRegistry
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._fleet = fleet
        self._registry = registry
        # Entries that this gateway last read or wrote, with their versions.
        self._stored: dict[str, tuple[LimitEntry, int]] = {}
        # Entries that were read before their targets were listed.
        self._waiting: dict[str, LimitEntry] = {}
        # Whether the entries were read once.
        self.loaded = False

    async def run(self) -> None:
        """Read once, then write changes until cancelled."""
        while True:
            if await self._read():
                break
            await asyncio.sleep(RETRY_SECONDS)
        expires_at = read_clock() + ENTRY_WAIT_SECONDS
        while True:
            self.apply_waiting()
            if self._waiting and read_clock() >= expires_at:
                self._waiting.clear()
            await self._write_all()
            await asyncio.sleep(CHECK_SECONDS)

    async def _read(self) -> bool:
        listing = await self._store.list(self._prefix)
        if isinstance(listing, Err):
            return False
        for found in listing.ok_value.objects:
            name = found.key.removeprefix(self._prefix)
            try:
                entry = msgspec.json.decode(found.value, type=LimitEntry)
            except msgspec.MsgspecError as error:
                log.warning("invalid entry ignored", key=found.key, reason=str(error))
                continue
            self._stored[name] = entry, found.version
            self._waiting[name] = entry
        self.loaded = True
        return True

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
                await self._write(name, state)
        for name in [n for n in self._stored if not self._is_needed(n)]:
            await self._remove(name)

    def _is_needed(self, name: str) -> bool:
        state = self._fleet.find(name)
        is_needed = state is not None and state.rate_limit.in_force
        return is_needed or name in self._waiting or not self._is_writer(name)

    def _is_writer(self, name: str) -> bool:
        selected = self._registry.select_gateways(f"{WRITER}/{name}", 1)
        return any(self._registry.is_own(gateway) for gateway in selected)

    async def _write(self, name: str, state: TargetState) -> None:
        entry = LimitEntry(state.entry.started_ms, state.rate_limit.per_second)
        stored, version = self._stored.get(name, (None, ABSENT))
        if stored is not None and _is_close(stored, entry) or not self._is_writer(name):
            return
        value = msgspec.json.encode(entry)
        written = await self._store.write(self._prefix + name, value, version)
        if isinstance(written, Err):
            self._handle_failure(name, entry, written.err_value)
            return
        self._stored[name] = entry, written.ok_value

    async def _remove(self, name: str) -> None:
        _, version = self._stored.pop(name)
        removed = await self._store.delete(self._prefix + name, version)
        if isinstance(removed, Err):
            reason = str(removed.err_value)
            log.warning("limit entry not removed", target=name, reason=reason)

    def _handle_failure(
        self, name: str, entry: LimitEntry, error: PlatformError
    ) -> None:
        """Handle a failed write; the next check tries again."""
        if isinstance(error, VersionConflictError):
            # The entry is of another instance or of a previous writer; replace it.
            stale = LimitEntry(0, entry.per_second)
            self._stored[name] = stale, error.found
            return
        log.warning("limit entry not written", target=name, reason=str(error))


def _is_close(stored: LimitEntry, entry: LimitEntry) -> bool:
    return (
        stored.born == entry.born
        and entry.per_second <= stored.per_second * MIN_CHANGE_FACTOR
        and stored.per_second <= entry.per_second * MIN_CHANGE_FACTOR
    )
