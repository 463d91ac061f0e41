"""Looks up the targets of a service by the entries in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.specs import TargetEntry
    from bamboopier_objects.objects import FollowedStore

    from .store_schema import StoreSchema


class TargetDirectory:
    """Reads the registered targets of one service on demand."""

    def __init__(self, store: FollowedStore, schema: StoreSchema, service: str) -> None:
        self._store = store
        self._schema = schema
        self._service = service
        self._entries: list[TargetEntry] = []

    @property
    def count(self) -> int:
        """Return the number of targets last read, but at least one."""
        return max(1, len(self._entries))

    async def read(self) -> bool:
        """Read the list; False if the store did not respond."""
        listing = await self._store.list(self._schema.targets_prefix)
        if isinstance(listing, Err):
            return False
        entries = []
        for found in listing.ok_value.objects:
            name = found.key.removeprefix(self._schema.targets_prefix)
            decoded = self._schema.decode_target(name, found.value)
            if isinstance(decoded, Ok) and decoded.ok_value.service == self._service:
                entries.append(decoded.ok_value)
        self._entries = entries
        return True

    def list_versions(self, model: str) -> dict[str, int]:
        """Return the version of a model that each target has."""
        return {
            entry.name: entry.versions[model]
            for entry in self._entries
            if model in entry.versions and not entry.leaving
        }

    def find_name(self, host: str, port: int) -> str:
        """Return the name of the newest target at an address, or an empty string."""
        found = [e for e in self._entries if e.host == host and e.port == port]
        return max(found, key=lambda e: e.started_ms).name if found else ""
