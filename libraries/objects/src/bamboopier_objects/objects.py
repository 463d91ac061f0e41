"""Interface of the platform's versioned object store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from .errors import PlatformError

# Expected version of an object that must not exist yet.
ABSENT = 0

MAX_VALUE_BYTES = 1024 * 1024


# Status of an object for which none was written.
NO_STATUS = b"null"


class StoredObject(msgspec.Struct, frozen=True):
    """An object's key, version (positive, grows with each write) and value."""

    key: str
    version: int
    value: bytes
    # What was written beside the value, where the store separates the two.
    status: bytes = NO_STATUS


class Change(msgspec.Struct, frozen=True):
    """A watched object's new version; ``ABSENT`` once it is deleted."""

    key: str
    version: int


class WatchBatch(msgspec.Struct, frozen=True):
    """Changes up to and including ``revision``; empty when the watch timed out."""

    revision: int
    changes: tuple[Change, ...]


class ObjectStore(Protocol):
    """A store of versioned objects with conditional updates and watches."""

    async def read(self, key: str) -> Result[StoredObject | None, PlatformError]:
        """Return the object, or None when there is none."""
        ...

    async def write(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, PlatformError]:
        """Replace the object if it still has ``expected_version``.

        Returns the new version. After ``PlatformOutcomeUnknownError`` the caller must
        read back before it relies on either outcome.
        """
        ...

    async def delete(
        self, key: str, expected_version: int
    ) -> Result[None, PlatformError]:
        """Remove the object if it still has ``expected_version``."""
        ...

    async def scan(self, prefix: str) -> Result[list[StoredObject], PlatformError]:
        """Return all objects whose key starts with ``prefix``, ordered by key."""
        ...

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> Result[WatchBatch, PlatformError]:
        """Wait up to ``timeout`` seconds for changes later than revision ``after``."""
        ...


class Listing(msgspec.Struct, frozen=True):
    """All objects below a prefix, as they were at ``revision``."""

    revision: int
    objects: tuple[StoredObject, ...]


class ChangedObject(msgspec.Struct, frozen=True):
    """A watched object as it is now; ``value`` is None once it is deleted."""

    key: str
    version: int
    value: bytes | None
    status: bytes = NO_STATUS


class ChangeBatch(msgspec.Struct, frozen=True):
    """Changes with their values, up to and including ``revision``."""

    revision: int
    changes: tuple[ChangedObject, ...]


class FollowedStore(Protocol):
    """A store whose lists have a revision and whose watches return values."""

    async def list(self, prefix: str) -> Result[Listing, PlatformError]:
        """Return all objects whose key starts with ``prefix``."""
        ...

    async def watch_values(
        self,
        prefix: str,
        after: int,
        timeout: float,
        on_response: Callable[[], None] | None = None,
    ) -> Result[ChangeBatch, PlatformError]:
        """Wait up to ``timeout`` seconds for changes later than revision ``after``.

        ``on_response`` is called when the response begins to arrive.
        """
        ...
