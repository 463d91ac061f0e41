"""Published configuration as objects: one head that names content-addressed parts.

The head carries the generation number and changes only by conditional update, so two
publishers that race get one winner and one typed conflict. Parts are immutable and
named by their digest: a reader that holds a head can never mix parts of two
generations, and a change costs a reader only the parts that differ.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
from result import Err, Ok, Result

from bamboopier_configuration.model import (
    Configuration,
    Drains,
    Model,
    Service,
    Store,
    Workspace,
)

from .errors import (
    MalformedObjectError,
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    VersionConflictError,
)
from .objects import ABSENT

if TYPE_CHECKING:
    from .objects import ObjectStore

HEAD_KEY = "configuration/head"
PART_PREFIX = "configuration/parts/"
# Workspaces are spread over this many parts: at 6,300 workspaces of about 250 bytes a
# part is some 25 KB, which is what one change of a workspace costs each reader.
WORKSPACE_PARTS = 64


class Head(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The current generation and the digests of its parts by part name."""

    generation: int
    publish_id: str
    parts: dict[str, str]


class _Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    services: list[Service] = []
    workspaces: list[Workspace] = []
    models: list[Model] = []
    stores: list[Store] = []
    drains: Drains | None = None


@dataclass(frozen=True, slots=True)
class Generation:
    """A published configuration and its number."""

    number: int
    publish_id: str
    configuration: Configuration
    # Version of the head object that was read, to make the next update conditional.
    head_version: int


EMPTY_GENERATION = Generation(0, "", Configuration(), ABSENT)


class GenerationStore:
    """Reads and publishes generations; keeps the parts it has seen."""

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects
        self._parts: dict[str, _Part] = {}

    async def read(self) -> Result[Generation, PlatformError]:
        """Return the generation the platform answers with (it may be an old one)."""
        answer = await self._objects.read(HEAD_KEY)
        if isinstance(answer, Err):
            return answer
        stored = answer.ok_value
        if stored is None:
            return Ok(EMPTY_GENERATION)
        try:
            head = msgspec.json.decode(stored.value, type=Head)
        except msgspec.MsgspecError as error:
            return Err(MalformedObjectError(f"{HEAD_KEY}: {error}"))
        return await self._assemble(head, stored.version)

    async def publish(
        self, base: Generation, configuration: Configuration, publish_id: str
    ) -> Result[Generation, PlatformError]:
        """Publish ``configuration`` as the generation after ``base``.

        A ``VersionConflictError`` says that another publisher came first and nothing
        was changed. A lost answer is settled by reading the head back and looking for
        ``publish_id``; only if that fails too is the outcome unknown.
        """
        parts = _split(configuration)
        encoded = {name: msgspec.json.encode(part) for name, part in parts.items()}
        digests = {name: _digest(value) for name, value in encoded.items()}
        for name, value in encoded.items():
            written = await self._write_part(digests[name], value)
            if isinstance(written, Err):
                return written
        head = Head(base.number + 1, publish_id, digests)
        answer = await self._objects.write(
            HEAD_KEY, msgspec.json.encode(head), base.head_version
        )
        if isinstance(answer, Ok):
            version = answer.ok_value
            return Ok(Generation(head.generation, publish_id, configuration, version))
        if isinstance(answer.err_value, PlatformOutcomeUnknownError):
            return await self._settle(head, base)
        return answer

    async def _settle(
        self, head: Head, base: Generation
    ) -> Result[Generation, PlatformError]:
        """Find out whether a publish whose answer was lost took effect."""
        answer = await self.read()
        if isinstance(answer, Err):
            text = f"publish {head.publish_id}: {answer.err_value}"
            return Err(PlatformOutcomeUnknownError(text))
        found = answer.ok_value
        if found.publish_id == head.publish_id:
            return Ok(found)
        if found.number > base.number:
            # Someone else's generation: whether ours came before it is not known.
            text = f"publish {head.publish_id}: overtaken by generation {found.number}"
            return Err(PlatformOutcomeUnknownError(text))
        # Our write may still be on its way; only a conditional update decides.
        again = await self._objects.write(
            HEAD_KEY, msgspec.json.encode(head), base.head_version
        )
        if isinstance(again, Ok):
            return await self.read()
        text = f"publish {head.publish_id}: {again.err_value}"
        return Err(PlatformOutcomeUnknownError(text))

    async def _write_part(
        self, digest: str, value: bytes
    ) -> Result[None, PlatformError]:
        if digest in self._parts:
            return Ok(None)
        answer = await self._objects.write(PART_PREFIX + digest, value, ABSENT)
        if isinstance(answer, Err):
            error = answer.err_value
            # Content-addressed: whoever wrote this name wrote the same content.
            if not isinstance(error, VersionConflictError):
                return Err(PlatformUnavailableError(f"part {digest}: {error}"))
        return Ok(None)

    async def _assemble(
        self, head: Head, head_version: int
    ) -> Result[Generation, PlatformError]:
        parts: list[_Part] = []
        for digest in head.parts.values():
            answer = await self._read_part(digest)
            if isinstance(answer, Err):
                return answer
            parts.append(answer.ok_value)
        kept = set(head.parts.values())
        self._parts = {d: part for d, part in self._parts.items() if d in kept}
        configuration = _join(parts)
        return Ok(
            Generation(head.generation, head.publish_id, configuration, head_version)
        )

    async def _read_part(self, digest: str) -> Result[_Part, PlatformError]:
        known = self._parts.get(digest)
        if known is not None:
            return Ok(known)
        answer = await self._objects.read(PART_PREFIX + digest)
        if isinstance(answer, Err):
            return answer
        stored = answer.ok_value
        if stored is None or _digest(stored.value) != digest:
            return Err(MalformedObjectError(f"{PART_PREFIX}{digest}: missing or torn"))
        try:
            part = msgspec.json.decode(stored.value, type=_Part)
        except msgspec.MsgspecError as error:
            return Err(MalformedObjectError(f"{PART_PREFIX}{digest}: {error}"))
        self._parts[digest] = part
        return Ok(part)


def _digest(value: bytes) -> str:
    return hashlib.sha256(value).hexdigest()


def _split(configuration: Configuration) -> dict[str, _Part]:
    parts: dict[str, _Part] = {
        f"service.{service.name}": _Part(services=[service])
        for service in configuration.services
    }
    parts["models"] = _Part(models=configuration.models, stores=configuration.stores)
    parts["drains"] = _Part(drains=configuration.drains)
    buckets: dict[int, list[Workspace]] = {}
    for workspace in configuration.workspaces:
        bucket = hashlib.sha256(workspace.name.encode()).digest()[0] % WORKSPACE_PARTS
        buckets.setdefault(bucket, []).append(workspace)
    for bucket, workspaces in buckets.items():
        parts[f"workspaces.{bucket}"] = _Part(workspaces=workspaces)
    return parts


def _join(parts: list[_Part]) -> Configuration:
    sections: dict[str, list[Any]] = {
        "services": [],
        "workspaces": [],
        "models": [],
        "stores": [],
    }
    drains = Drains()
    for part in parts:
        for section, items in sections.items():
            items.extend(getattr(part, section))
        drains = part.drains or drains
    return Configuration(**sections, drains=drains)
