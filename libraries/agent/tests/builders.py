"""An in-memory platform whose calls fail on request."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import msgspec
from fault_matrix import CallFault
from result import Err, Ok, Result

from bamboopier_configuration.model import Service
from bamboopier_objects.errors import (
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    VersionConflictError,
)
from bamboopier_objects.objects import StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable

DISPATCH = Service(name="dispatch", kind="plain")


class FakeObjects:
    """Stores versioned objects; each write consumes one of ``write_faults``."""

    def __init__(self) -> None:
        self.stored: dict[str, StoredObject] = {}
        self.write_faults: deque[CallFault] = deque()
        self.down = False
        self.delayed: list[tuple[str, bytes, int]] = []
        self.writes = 0
        # Writes wait for ``may_write``; ``writing`` is set when one has started.
        self.may_write = asyncio.Event()
        self.may_write.set()
        self.writing = asyncio.Event()
        # Writes that took effect wait for ``may_respond`` before they return;
        # ``written`` is set when one has taken effect.
        self.may_respond = asyncio.Event()
        self.may_respond.set()
        self.written = asyncio.Event()
        self.after_write: Callable[[], None] = lambda: None

    async def read(self, key: str) -> Result[StoredObject | None, PlatformError]:
        await asyncio.sleep(0)
        if self.down:
            return Err(PlatformUnavailableError("down"))
        return Ok(self.stored.get(key))

    async def write(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, PlatformError]:
        self.writing.set()
        await self.may_write.wait()
        fault = self.write_faults.popleft() if self.write_faults else CallFault.NONE
        if self.down or fault is CallFault.DOWN:
            return Err(PlatformUnavailableError("down"))
        self.writes += 1
        if fault is CallFault.LOST_BEFORE_EFFECT:
            return Err(PlatformOutcomeUnknownError("cut"))
        if fault is CallFault.DELAYED:
            self.delayed.append((key, value, expected_version))
            return Err(PlatformOutcomeUnknownError("cut"))
        done = self.apply(key, value, expected_version)
        self.after_write()
        self.written.set()
        # A response never arrives in the same step of the event loop as its write.
        await asyncio.sleep(0)
        await self.may_respond.wait()
        if fault is CallFault.LOST_AFTER_EFFECT:
            return Err(PlatformOutcomeUnknownError("cut"))
        if fault is CallFault.RESENT:
            return self.apply(key, value, expected_version)
        return done

    def apply(
        self, key: str, value: bytes, expected: int
    ) -> Result[int, PlatformError]:
        found = self.stored.get(key)
        version = found.version if found else 0
        if version != expected:
            return Err(VersionConflictError(key, expected, version))
        self.stored[key] = StoredObject(key, version + 1, value)
        return Ok(version + 1)

    def list_claim_ids(self) -> set[str]:
        """Return the ids of the claims stored in all partitions."""
        values = [stored.value for stored in self.stored.values()]
        return {claim[2] for value in values for claim in msgspec.msgpack.decode(value)}

    def land_delayed(self) -> None:
        """Apply the delayed writes, if their versions are still current."""
        for write in self.delayed:
            self.apply(*write)
        self.delayed.clear()
