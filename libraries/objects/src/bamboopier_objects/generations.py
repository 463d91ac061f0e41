"""Reads published generations, from the platform or from a peer that has one.

The head carries the generation number and changes only by conditional update, so two
publishers that race get one winner and one typed conflict. Parts are immutable and
named by their digest: a reader that holds a head can never mix parts of two
generations, and a change costs a reader only the parts that differ.
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
    # Version of the head object that was read, to make the next update conditional;
    # ``ABSENT`` when a peer gave it.
    head_version: int
    head: Head


EMPTY_GENERATION = Generation(0, "", Configuration(), ABSENT, Head(0, "", {}))


class PartSource(Protocol):
    """Where the parts of a head are read from."""

    async def read_part(self, digest: str) -> Result[bytes | None, PlatformError]:
        """Return a part's stored bytes, or None when it is not there."""
        ...


class GenerationStore:
    """Reads generations; keeps the parts of the newest one it has read."""

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects
        self._parts: dict[str, Part] = {}
        # Bytes of the newest head and its parts, for peers that ask.
        self.newest = 0
        self.head_value = b""
        self.part_values: dict[str, bytes] = {}

    async def read(self) -> Result[Generation, PlatformError]:
        """Return the generation the platform answers with (it may be an old one)."""
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
        """Return the generation of a stored head, reading the parts not yet known."""
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
        """Keep the newest head's parts only; an older head was a lagging answer."""
        if head.generation < self.newest:
            return
        self.newest = head.generation
        self.head_value = head_value
        named = set(head.parts.values())
        self._parts = {d: part for d, part in self._parts.items() if d in named}
        self.part_values = {d: v for d, v in self.part_values.items() if d in named}

    async def _find_part(
        self, digest: str, source: PartSource
    ) -> Result[Part, PlatformError]:
        known = self._parts.get(digest)
        if known is not None:
            return Ok(known)
        response = await source.read_part(digest)
        if isinstance(response, Err):
            return response
        value = response.ok_value
        # A part that is torn or not yet at this replica would put a half written
        # configuration in force; its digest shows that, and the reader asks again.
        if value is None or digest_part(value) != digest:
            return Err(MalformedObjectError(f"{PART_PREFIX}{digest}: missing or torn"))
        try:
            part = msgspec.json.decode(value, type=Part)
        except msgspec.MsgspecError as error:
            return Err(MalformedObjectError(f"{PART_PREFIX}{digest}: {error}"))
        self._parts[digest] = part
        self.part_values[digest] = value
        return Ok(part)
