"""Small entries in the store that gateways need if all of them restart together.

One gateway, which all gateways select alike, writes each entry. A gateway that starts
reads the entries once.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

import msgspec
import structlog
from result import Err

from bamboopier_objects.decoding import DECODE_ERRORS
from bamboopier_objects.errors import VersionConflictError
from bamboopier_objects.invalid_entries import open_invalid_entries
from bamboopier_objects.objects import ABSENT

if TYPE_CHECKING:
    from collections.abc import Callable

    from bamboopier_objects.errors import PlatformError

    from .gateway_registry import GatewayRegistry
    from .store_schema import Store

T = TypeVar("T")

RETRY_SECONDS = 0.4
# Interval between checks for changes.
CHECK_SECONDS = 0.5

log = structlog.get_logger()


class RecordKeeper(Protocol):
    """Keeps one kind of entry in the store in line with the state of this process."""

    async def read(self) -> None:
        """Apply the stored entries."""
        ...

    async def write(self) -> None:
        """Write what has changed."""
        ...


async def keep_records(keeper: RecordKeeper) -> None:
    """Read once, then write changes until cancelled."""
    await keeper.read()
    while True:
        await asyncio.sleep(CHECK_SECONDS)
        await keeper.write()


class StoredRecords(Generic[T]):
    """Entries of one type below a key prefix, by name."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        entry_type: type[T],
        is_current: Callable[[T, T], bool],
        registry: GatewayRegistry,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._entry_type = entry_type
        # Returns whether a stored entry may stay in place of a newer one.
        self._is_current = is_current
        self._registry = registry
        # Entries that this gateway last read or wrote, with their versions; None for
        # one that must be replaced.
        self._stored: dict[str, tuple[T | None, int]] = {}

    @property
    def names(self) -> list[str]:
        """Return the names of the entries that are stored, as far as known here."""
        return list(self._stored)

    async def read(self) -> dict[str, T]:
        """Read all entries, retrying until the store responds."""
        while True:
            entries = await self._try_read()
            if entries is not None:
                return entries
            await asyncio.sleep(RETRY_SECONDS)

    async def _try_read(self) -> dict[str, T] | None:
        listing = await self._store.list(self._prefix)
        if isinstance(listing, Err):
            reason = str(listing.err_value)
            log.warning("entries not read", prefix=self._prefix, reason=reason)
            return None
        entries: dict[str, T] = {}
        for found in listing.ok_value.objects:
            name = found.key.removeprefix(self._prefix)
            try:
                entry = msgspec.json.decode(found.value, type=self._entry_type)
            except DECODE_ERRORS as error:
                open_invalid_entries().report(found.key, str(error))
                continue
            entries[name] = entry
            self._stored[name] = entry, found.version
        return entries

    def is_writer(self, name: str) -> bool:
        """Return whether this gateway writes the entry."""
        key = f"{self._prefix.rstrip('/')}/{name}"
        selected = self._registry.select_gateways(key, 1)
        return any(self._registry.is_own(gateway) for gateway in selected)

    async def write(self, name: str, entry: T) -> None:
        """Write an entry, unless a current one is stored or another gateway writes it.

        After a failure the next call tries again.
        """
        stored, version = self._stored.get(name, (None, ABSENT))
        if stored is not None and self._is_current(stored, entry):
            return
        if not self.is_writer(name):
            return
        value = msgspec.json.encode(entry)
        written = await self._store.write(self._prefix + name, value, version)
        if isinstance(written, Err):
            self._handle_failure(name, written.err_value)
            return
        self._stored[name] = entry, written.ok_value

    async def remove(self, name: str) -> None:
        """Remove a stored entry that is not needed, if this gateway writes it."""
        if not self.is_writer(name):
            return
        _, version = self._stored.pop(name)
        removed = await self._store.delete(self._prefix + name, version)
        if isinstance(removed, Err):
            reason = str(removed.err_value)
            log.warning("entry not removed", key=self._prefix + name, reason=reason)

    def _handle_failure(self, name: str, error: PlatformError) -> None:
        if isinstance(error, VersionConflictError):
            # The entry is of a previous writer, or an earlier write had no response.
            self._stored[name] = None, error.found
            return
        log.warning("entry not written", key=self._prefix + name, reason=str(error))
