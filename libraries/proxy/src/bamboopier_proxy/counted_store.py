"""A store whose calls are counted by kind of object and by verb.

Load pattern: the calls of all processes add up at the store, which serves only so many
a second. The counts show an operator which purpose they serve.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import prometheus_client
import structlog

from bamboopier_objects.invalid_entries import open_invalid_entries

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from bamboopier_objects.errors import PlatformError
    from bamboopier_objects.objects import (
        ChangeBatch,
        Listing,
        StoredObject,
        WatchBatch,
    )

    from .store_schema import Store

# Interval between two log lines.
LOG_SECONDS = 10.0

log = structlog.get_logger()


class CountedStore:
    """Passes all calls on to ``store``."""

    def __init__(
        self, store: Store, registry: prometheus_client.CollectorRegistry
    ) -> None:
        self._store = store
        self._calls = prometheus_client.Counter(
            "bamboopier_store_calls",
            "Calls to the platform's store, by kind of object and verb",
            ["kind", "verb"],
            registry=registry,
        )
        invalid_entries = prometheus_client.Gauge(
            "bamboopier_store_invalid_entries",
            "Entries that could not be read, counted at each read, since the start",
            registry=registry,
        )
        invalid_entries.set_function(lambda: open_invalid_entries().count)
        # Calls since the last log line.
        self._recent: Counter[str] = Counter()

    async def run(self) -> None:
        """Log the calls at intervals until cancelled."""
        while True:
            await asyncio.sleep(LOG_SECONDS)
            if self._recent:
                log.info("store calls", calls=dict(self._recent), seconds=LOG_SECONDS)
                self._recent.clear()

    async def read(self, key: str) -> Result[StoredObject | None, PlatformError]:
        """Return the object, or None if it does not exist."""
        self._count(key, "read")
        return await self._store.read(key)

    async def write(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, PlatformError]:
        """Replace the object if it still has ``expected_version``."""
        self._count(key, "write")
        return await self._store.write(key, value, expected_version)

    async def write_status(
        self, key: str, status: bytes, expected_version: int
    ) -> Result[int, PlatformError]:
        """Replace an object's status if it still has ``expected_version``."""
        self._count(key, "write-status")
        return await self._store.write_status(key, status, expected_version)

    async def delete(
        self, key: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Remove the object if it still has ``expected_version``."""
        self._count(key, "delete")
        return await self._store.delete(key, expected_version)

    async def scan(self, prefix: str) -> Result[list[StoredObject], PlatformError]:
        """Return all objects whose key starts with ``prefix``, ordered by key."""
        self._count(prefix, "list")
        return await self._store.scan(prefix)

    async def list(self, prefix: str) -> Result[Listing, PlatformError]:
        """Return all objects whose key starts with ``prefix``."""
        self._count(prefix, "list")
        return await self._store.list(prefix)

    async def list_stale(self, prefix: str) -> Result[Listing, PlatformError]:
        """Return all objects below ``prefix`` as they were some seconds ago at most."""
        self._count(prefix, "list-stale")
        return await self._store.list_stale(prefix)

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> Result[WatchBatch, PlatformError]:
        """Wait up to ``timeout`` seconds for changes after revision ``after``."""
        self._count(prefix, "watch")
        return await self._store.watch(prefix, after, timeout)

    async def watch_values(
        self,
        prefix: str,
        after: int,
        timeout: float,
        on_response: Callable[[], None] | None = None,
    ) -> Result[ChangeBatch, PlatformError]:
        """Wait up to ``timeout`` seconds for changed objects after ``after``."""
        self._count(prefix, "watch")
        return await self._store.watch_values(prefix, after, timeout, on_response)

    def _count(self, key: str, verb: str) -> None:
        kind = key.partition("/")[0]
        self._calls.labels(kind, verb).inc()
        self._recent[f"{verb} {kind}"] += 1
