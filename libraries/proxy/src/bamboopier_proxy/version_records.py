"""Stores which software versions targets had, for gateways that restart.

Guards against a simultaneous restart of all gateways: none would have observed
anything, and streams that callers take up would be refused although one version alone
serves. A few writes for each release of a service.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec
import structlog

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.version_history import ServiceVersions
from bamboopier_objects.decoding import BoundedInt

from .stored_records import StoredRecords

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.version_history import VersionHistory

    from .gateway_registry import GatewayRegistry
    from .store_schema import Store

log = structlog.get_logger()


class StoredVersions(msgspec.Struct):
    """Software versions of one service; times are in milliseconds since 1970."""

    # Since when no change was missed.
    complete_since: BoundedInt
    listed: list[str]
    # When versions that are not listed any more were last listed.
    former: dict[str, BoundedInt] = {}


class VersionRecords:
    """Entries below a key prefix, one for each service."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        history: VersionHistory,
        registry: GatewayRegistry,
    ) -> None:
        self._history = history
        self._records = StoredRecords(
            store, prefix, StoredVersions, _is_current, registry
        )

    async def read(self) -> None:
        """Apply the stored entries."""
        stored = await self._records.read()
        offset = read_clock() - time.time()
        for service, versions in stored.items():
            former = {v: ms / 1000 + offset for v, ms in versions.former.items()}
            since = versions.complete_since / 1000 + offset
            record = ServiceVersions(since, frozenset(versions.listed), former)
            self._history.restore(service, record)
            log.info("stored versions read", service=service, versions=versions.listed)

    async def write(self) -> None:
        """Write the services whose versions have changed."""
        now = read_clock()
        offset = time.time() - now
        for service, record in self._history.list_records(now).items():
            versions = StoredVersions(
                int((record.complete_since + offset) * 1000),
                sorted(record.listed),
                {v: int((at + offset) * 1000) for v, at in record.former.items()},
            )
            await self._records.write(service, versions)


def _is_current(stored: StoredVersions, versions: StoredVersions) -> bool:
    return (
        stored.listed == versions.listed
        and stored.former.keys() == versions.former.keys()
    )
