"""Reads published generations, from the platform or from a peer that has one.

The head contains the generation number and changes only by conditional update: of two
concurrent publishers one succeeds and the other gets a ``VersionConflictError``. Parts
are immutable and named by their digest, so a reader that has a head cannot mix parts
of two generations, and after a change it reads only the parts that differ.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import msgspec
from result import Err, Ok, Result

from bamboopier_configuration.model import Configuration

from .errors import MalformedObjectError, PlatformError
from .objects import ABSENT
from .parts import HEAD_KEY, PART_PREFIX, Head, Part, digest_part, join_parts

if TYPE_CHECKING:
    from .objects import ObjectStore


@dataclass(frozen=True, slots=True)
class Generation:
    """A published configuration and its number."""

    number: int
    publish_id: str
    configuration: Configuration
    # Version of the head object that was read, for the next conditional update;
    # ``ABSENT`` when the head came from a peer.
    head_version: int
    head: Head


EMPTY_GENERATION = Generation(0, "", Configuration(), ABSENT, Head(0, "", {}))


class PartSource(Protocol):
    """A source of the parts of a head."""

    async def read_part(self, digest: str) -> Result[bytes | None, PlatformError]:
        """Return the stored bytes of a part, or None when it is not stored."""
        ...


class GenerationStore:
    """Reads generations and caches the parts of the newest one."""

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects
        self._parts: dict[str, Part] = {}
        # Bytes of the newest head and of its parts, for requests of peers.
        self.newest = 0
        self.head_value = b""
        self.part_values: dict[str, bytes] = {}

    async def read(self) -> Result[Generation, PlatformError]:
        """Return the generation that the platform shows, which may be an older one."""
        response = await self._objects.read(HEAD_KEY)
        if isinstance(response, Err):
            return response
        stored = response.ok_value
        if stored is None:
            return Ok(EMPTY_GENERATION)
        return await self.assemble(stored.value, stored.version, self)

    async def read_part(self, digest: str) -> Result[bytes | None, PlatformError]:
        """Return a part's stored bytes from the platform."""
        response = await self._objects.read(PART_PREFIX + digest)
        if isinstance(response, Err):
            return response
        stored = response.ok_value
        return Ok(stored.value if stored is not None else None)

    async def assemble(
        self, head_value: bytes, head_version: int, source: PartSource
    ) -> Result[Generation, PlatformError]:
        """Return the generation of a stored head; read parts that are not cached."""
        try:
            head = msgspec.json.decode(head_value, type=Head)
        except msgspec.MsgspecError as error:
            return Err(MalformedObjectError(f"{HEAD_KEY}: {error}"))
        parts: list[Part] = []
        for digest in head.parts.values():
            response = await self._find_part(digest, source)
            if isinstance(response, Err):
                return response
            parts.append(response.ok_value)
        self._keep(head, head_value)
        found = join_parts(parts)
        return Ok(
            Generation(head.generation, head.publish_id, found, head_version, head)
        )

    def _keep(self, head: Head, head_value: bytes) -> None:
        """Cache only the parts of the newest head; lagging replicas show older ones."""
        if head.generation < self.newest:
            return
        self.newest = head.generation
        self.head_value = head_value
        referenced = set(head.parts.values())
        self._parts = {d: part for d, part in self._parts.items() if d in referenced}
        self.part_values = {
            d: v for d, v in self.part_values.items() if d in referenced
        }

    async def _find_part(
        self, digest: str, source: PartSource
    ) -> Result[Part, PlatformError]:
        cached = self._parts.get(digest)
        if cached is not None:
            return Ok(cached)
        response = await source.read_part(digest)
        if isinstance(response, Err):
            return response
        value = response.ok_value
        # A part that is truncated, or missing at this replica, would put an incomplete
        # configuration in force. The digest detects that, and the caller reads again.
        if value is None or digest_part(value) != digest:
            return Err(
                MalformedObjectError(f"{PART_PREFIX}{digest}: missing or corrupt")
            )
        try:
            part = msgspec.json.decode(value, type=Part)
        except msgspec.MsgspecError as error:
            return Err(MalformedObjectError(f"{PART_PREFIX}{digest}: {error}"))
        self._parts[digest] = part
        self.part_values[digest] = value
        return Ok(part)
