"""Stores which requests and parts are refused since they crash targets, for restarts.

Guards against a simultaneous restart of all gateways: none could tell the others, and
each would crash targets anew. One write for each that is refused.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Protocol

import msgspec
import structlog

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.quarantine.quarantine import QuarantineEntry
from bamboopier_objects.decoding import BoundedInt
from bamboopier_objects.invalid_entries import open_invalid_entries

from .stored_records import StoredRecords

if TYPE_CHECKING:
    from .gateway_registry import GatewayRegistry
    from .store_schema import Store

# An entry is rewritten if the request is refused for this much longer.
MIN_EXTENSION_MS = 60_000

log = structlog.get_logger()


class QuarantineRecord(msgspec.Struct):
    """What is refused; its name is the fingerprint in hexadecimal."""

    # Milliseconds since 1970.
    until: BoundedInt


class Refusals(Protocol):
    """Requests, or parts of prompts, that are refused."""

    def list_refused(self, now: float) -> list[QuarantineEntry]:
        """Return all entries in force."""
        ...

    def add_shared_entry(self, entry: QuarantineEntry) -> bool:
        """Add an entry of another gateway; return whether it is news here."""
        ...


class QuarantineRecords:
    """Entries below a key prefix, one for each refused request or part."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        refusals: Refusals,
        registry: GatewayRegistry,
    ) -> None:
        self._refusals = refusals
        self._prefix = prefix
        # Whether the entries were read once.
        self.loaded = False
        self._records = StoredRecords(
            store, prefix, QuarantineRecord, _is_current, registry
        )

    async def read(self) -> None:
        """Apply the stored entries."""
        records = await self._records.read()
        now, time_of_day = read_clock(), time.time()
        for name, record in records.items():
            remaining = record.until / 1000 - time_of_day
            fingerprint = _parse_name(name)
            if fingerprint is None or remaining <= 0:
                continue
            self._refusals.add_shared_entry(
                QuarantineEntry(fingerprint, now + remaining)
            )
            seconds = round(remaining, 1)
            log.info(
                "stored quarantine read",
                kind=self._prefix.rstrip("/"),
                fingerprint=name,
                seconds=seconds,
            )
        self.loaded = True

    async def write(self) -> None:
        """Write what is refused by now, and remove what was refused before."""
        now, time_of_day = read_clock(), time.time()
        refused = {
            entry.fingerprint.hex(): entry for entry in self._refusals.list_refused(now)
        }
        for name, entry in refused.items():
            until = int((time_of_day + entry.until - now) * 1000)
            await self._records.write(name, QuarantineRecord(until))
        for name in [n for n in self._records.names if n not in refused]:
            await self._records.remove(name)


def _is_current(stored: QuarantineRecord, record: QuarantineRecord) -> bool:
    return record.until < stored.until + MIN_EXTENSION_MS


def _parse_name(name: str) -> bytes | None:
    """Return the fingerprint; None if the name is not one."""
    try:
        return bytes.fromhex(name)
    except ValueError:
        open_invalid_entries().report(name, "not hexadecimal")
        return None
