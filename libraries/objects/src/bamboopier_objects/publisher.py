"""Publishes the next generation, resolves lost responses and removes old parts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from .errors import (
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    VersionConflictError,
)
from .generations import Generation, GenerationStore
from .objects import ABSENT
from .parts import (
    HEAD_KEY,
    PART_PREFIX,
    Head,
    Publication,
    RetiredPart,
    digest_part,
    split_configuration,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bamboopier_configuration.model import Configuration

    from .objects import ObjectStore

# Earlier publishes that a head lists. At 2,300 a day they are 38 seconds apart on
# average, so a publisher has some twenty minutes to find out that its publish was
# accepted and then replaced by later ones.
KEPT_PUBLICATIONS = 32
# A part stays stored for readers whose head is up to this many generations old.
KEPT_GENERATIONS = 32
# Parts that one publish removes at most; each costs two reads and a delete.
MAX_REMOVED_PARTS = 64
# Attempts to write a head, with delays that double: about half a minute.
MAX_HEAD_ATTEMPTS = 12
INITIAL_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 4.0
MAX_PART_ATTEMPTS = 8


class Publisher:
    """Publishes configurations as generations, one at a time."""

    def __init__(
        self,
        objects: ObjectStore,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        kept_generations: int = KEPT_GENERATIONS,
    ) -> None:
        self._objects = objects
        self._store = GenerationStore(objects)
        self._sleep = sleep
        self._kept_generations = kept_generations

    async def read(self) -> Result[Generation, PlatformError]:
        """Return the generation to build the next one on."""
        return await self._store.read()

    async def publish(
        self, base: Generation, configuration: Configuration, publish_id: str
    ) -> Result[Generation, PlatformError]:
        """Publish ``configuration`` as the generation after ``base``.

        A ``VersionConflictError`` says that another publisher came first and that this
        publish has not been accepted and never will be. The outcome is unknown only
        when the platform was unavailable during all attempts to determine it.
        """
        values = split_configuration(configuration)
        parts = {name: digest_part(value) for name, value in values.items()}
        expired = await self._find_expired(base, set(parts.values()))
        absent = {digest for digest, version in expired.items() if version == ABSENT}
        head = self._make_head(base, parts, publish_id, absent)
        for name, value in values.items():
            written = await self._write_part(base, parts[name], value)
            if isinstance(written, Err):
                return written
        response = await self._write_head(base, head)
        if isinstance(response, Err):
            return response
        await self._remove(expired)
        number, version = response.ok_value
        return Ok(Generation(number, publish_id, configuration, version, head))

    def _make_head(
        self,
        base: Generation,
        parts: dict[str, str],
        publish_id: str,
        absent: set[str],
    ) -> Head:
        number = base.number + 1
        referenced = set(parts.values())
        retired = [p for p in base.head.retired if p.digest not in referenced | absent]
        dropped = set(base.head.parts.values()) - referenced
        retired += [RetiredPart(digest, number) for digest in sorted(dropped)]
        earlier = list(base.head.earlier)
        if base.number:
            earlier.append(Publication(base.number, base.publish_id))
        return Head(number, publish_id, parts, earlier[-KEPT_PUBLICATIONS:], retired)

    async def _write_head(
        self, base: Generation, head: Head
    ) -> Result[tuple[int, int], PlatformError]:
        """Make the head current; return its generation and object version.

        The update is conditional on the version of the base: in whatever order delayed
        writes of this head arrive, only one can succeed, and only while the base is
        current. The head is read after a conflict too, not only after a lost
        response, since an intermediary may repeat a PUT, and the repetition then
        conflicts with the write that took effect.
        """
        value = msgspec.json.encode(head)
        seconds = INITIAL_RETRY_SECONDS
        is_unknown = False
        for _ in range(MAX_HEAD_ATTEMPTS):
            response = await self._objects.write(HEAD_KEY, value, base.head_version)
            if isinstance(response, Ok):
                return Ok((head.generation, response.ok_value))
            error = response.err_value
            if isinstance(error, VersionConflictError):
                outcome = await self._find_publish(base, head)
                if outcome is not None:
                    return outcome
            elif isinstance(error, PlatformOutcomeUnknownError):
                is_unknown = True
            elif not is_unknown:
                return response
            await self._sleep(seconds)
            seconds = min(MAX_RETRY_SECONDS, seconds * 2)
        text = f"publish {head.publish_id}: outcome unknown after all attempts"
        return Err(PlatformOutcomeUnknownError(text))

    async def _find_publish(
        self, base: Generation, head: Head
    ) -> Result[tuple[int, int], PlatformError] | None:
        """Find this publish in the current head; return None if a retry is due."""
        response = await self._objects.read(HEAD_KEY)
        if isinstance(response, Err) or response.ok_value is None:
            return None
        stored = response.ok_value
        if stored.version <= base.head_version:
            return None  # A lagging replica, which does not show the change yet.
        try:
            found = msgspec.json.decode(stored.value, type=Head)
        except msgspec.MsgspecError:
            return None
        if found.publish_id == head.publish_id:
            return Ok((found.generation, stored.version))
        if Publication(head.generation, head.publish_id) in found.earlier:
            return Ok((head.generation, stored.version))
        if found.generation > head.generation + KEPT_PUBLICATIONS:
            text = f"publish {head.publish_id}: too many later publishes"
            return Err(PlatformOutcomeUnknownError(text))
        return Err(VersionConflictError(HEAD_KEY, base.head_version, stored.version))

    async def _write_part(
        self, base: Generation, digest: str, value: bytes
    ) -> Result[None, PlatformError]:
        """Store a part unless the base refers to it, in which case it is stored."""
        if digest in base.head.parts.values():
            return Ok(None)
        key = PART_PREFIX + digest
        expected = ABSENT
        error: PlatformError = PlatformUnavailableError(key)
        for _ in range(MAX_PART_ATTEMPTS):
            response = await self._objects.write(key, value, expected)
            if isinstance(response, Ok):
                return Ok(None)
            error = response.err_value
            if isinstance(error, VersionConflictError):
                # Another publisher may be about to remove the part as unreferenced. A
                # new version makes that conditional delete fail; without it the next
                # head would refer to a deleted part.
                expected = error.found
            elif not isinstance(error, PlatformOutcomeUnknownError):
                break
        return Err(PlatformUnavailableError(f"part {digest}: {error}"))

    async def _find_expired(
        self, base: Generation, referenced: set[str]
    ) -> dict[str, int]:
        """Return the versions of parts that no recent head refers to, by digest.

        Versions are read before the head is written: a publisher that refers to such a
        part again builds on that head or a later one and so writes the part after this
        read, which makes the delete in ``_remove`` fail.
        """
        limit = base.number + 1 - self._kept_generations
        expired = [
            part.digest
            for part in base.head.retired
            if part.generation <= limit and part.digest not in referenced
        ]
        versions: dict[str, int] = {}
        for digest in expired[:MAX_REMOVED_PARTS]:
            response = await self._objects.read(PART_PREFIX + digest)
            if isinstance(response, Ok):
                stored = response.ok_value
                versions[digest] = stored.version if stored is not None else ABSENT
        return versions

    async def _remove(self, expired: dict[str, int]) -> None:
        """Delete expired parts.

        A part stays in the head's list until a later publish finds that it is absent.
        Without that a lost delete would leave the part stored for ever.
        """
        for digest, version in expired.items():
            if version != ABSENT:
                await self._objects.delete(PART_PREFIX + digest, version)
