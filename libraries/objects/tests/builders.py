"""Builds an in-memory platform with faults, configurations and followers."""

from __future__ import annotations

import asyncio
import hashlib
import random
from typing import TYPE_CHECKING, Any

import msgspec
from result import Err, Ok, Result

from bamboopier_configuration.model import Configuration, Drains, Model, Workspace
from bamboopier_objects.errors import (
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    VersionConflictError,
    WatchGapError,
)
from bamboopier_objects.follower import ConfigurationFollower
from bamboopier_objects.objects import Change, StoredObject, WatchBatch
from bamboopier_objects.parts import HEAD_KEY, Head
from bamboopier_objects.publisher import Publisher
from bamboopier_objects.vms import Vm, VmListResponse

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from bamboopier_configuration.directory import Directory
    from bamboopier_objects.generations import Generation, GenerationStore

KEPT_GENERATIONS = 2
BYTES_PER_VM = 145


class MemoryObjects:
    """Versioned objects with injected faults.

    Each write of the head uses the next of ``faults``, each write of another object the
    next of ``part_faults``: ``lose`` applies the write and loses its response, ``drop``
    loses the write, ``hold`` delays it until ``deliver_held`` is called.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, StoredObject] = {}
        self.past: dict[str, list[StoredObject]] = {}
        self.faults: list[str] = []
        self.part_faults: list[str] = []
        self.held: list[tuple[str, bytes, int]] = []
        self.down = False
        # Number of versions by which a read of the head lags.
        self.stale = 0
        self.before_head_write: list[Callable[[], Awaitable[object]]] = []
        # Watches after an older revision than this one fail with a gap.
        self.oldest_change = 0
        # Whether watches report no changes.
        self.silent = False
        self._changed = asyncio.Event()
        # Set when a watch waits for a change.
        self.waiting = asyncio.Event()

    @property
    def heads(self) -> list[Head]:
        """Return every head that was ever accepted, in order."""
        stored = self.past.get(HEAD_KEY, [])
        return [msgspec.json.decode(o.value, type=Head) for o in stored]

    async def read(self, key: str) -> Result[StoredObject | None, PlatformError]:
        if self.down:
            return Err(PlatformUnavailableError(key))
        past = self.past.get(key, [])
        if self.stale and key == HEAD_KEY and key in self.objects:
            return Ok(past[max(0, len(past) - 1 - self.stale)])
        return Ok(self.objects.get(key))

    async def write(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, PlatformError]:
        if self.down:
            return Err(PlatformUnavailableError(key))
        if key == HEAD_KEY and self.before_head_write:
            await self.before_head_write.pop(0)()
        faults = self.faults if key == HEAD_KEY else self.part_faults
        fault = faults.pop(0) if faults else ""
        if fault == "hold":
            self.held.append((key, value, expected_version))
        elif fault != "drop":
            response = self._apply(key, value, expected_version)
            if not fault:
                return response
        return Err(PlatformOutcomeUnknownError(key))

    def deliver_held(self) -> None:
        """Apply the writes that were held."""
        for write in self.held:
            self._apply(*write)
        self.held.clear()

    def _apply(
        self, key: str, value: bytes, expected: int
    ) -> Result[int, PlatformError]:
        found = self.objects[key].version if key in self.objects else 0
        if found != expected:
            return Err(VersionConflictError(key, expected, found))
        self.revision += 1
        self.objects[key] = StoredObject(key, self.revision, value)
        self.past.setdefault(key, []).append(self.objects[key])
        self._changed.set()
        return Ok(self.revision)

    async def delete(
        self, key: str, expected_version: int
    ) -> Result[None, PlatformError]:
        if self.down:
            return Err(PlatformUnavailableError(key))
        found = self.objects[key].version if key in self.objects else 0
        if found != expected_version:
            return Err(VersionConflictError(key, expected_version, found))
        self.revision += 1
        del self.objects[key]
        return Ok(None)

    async def scan(self, prefix: str) -> Result[list[StoredObject], PlatformError]:
        return Ok([o for k, o in sorted(self.objects.items()) if k.startswith(prefix)])

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> Result[WatchBatch, PlatformError]:
        while self.silent or self.revision <= after:
            self._changed.clear()
            self.waiting.set()
            await self._changed.wait()
            if 0 < after < self.oldest_change:
                return Err(WatchGapError(prefix))
        head = self.objects.get(HEAD_KEY)
        seen = head is not None and head.version > after
        changes = (Change(HEAD_KEY, head.version),) if head and seen else ()
        return Ok(WatchBatch(self.revision, changes))


class Node:
    """A follower that records applied generations and has other nodes as peers."""

    def __init__(self, objects: MemoryObjects) -> None:
        # Time on the follower's clock.
        self.now = 0.0
        self.applied: list[Directory] = []
        self._changed = asyncio.Event()
        self.peers: list[Node] = []
        self.follower = ConfigurationFollower(
            objects, self._apply, random.Random(1), lambda: self.now, self
        )

    def _apply(self, directory: Directory) -> None:
        self.applied.append(directory)
        self._changed.set()

    async def follow_until(self, generation: int) -> None:
        """Run the follower until ``generation`` is in force, at most 10 s."""
        async with asyncio.timeout(10):
            task = asyncio.create_task(self.follower.run())
            await self.wait_for(generation)
            task.cancel()

    async def wait_for(self, generation: int) -> None:
        """Return once ``generation`` or a higher one is in force at the node."""
        while self.generation < generation:
            self._changed.clear()
            await self._changed.wait()

    @property
    def generation(self) -> int:
        return self.follower.directory.generation

    async def read_above(
        self, generation: int, store: GenerationStore
    ) -> Result[Generation | None, PlatformError]:
        for peer in self.peers:
            held = peer.follower.store
            if held.newest > generation:
                return await store.assemble(held.head_value, 0, peer)
        return Ok(None)

    async def read_part(self, digest: str) -> Result[bytes | None, PlatformError]:
        return Ok(self.follower.store.part_values.get(digest))


async def skip_sleep(_: float) -> None:
    """Return at once, so that attempts follow without delay."""


def build_publisher(objects: MemoryObjects) -> Publisher:
    """Return a publisher without retry delays that keeps few generations."""
    return Publisher(objects, skip_sleep, KEPT_GENERATIONS)


def build_configuration(number: int) -> Configuration:
    """Return a configuration whose content depends only on ``number``."""
    return Configuration(
        models=[Model("pillar-8b", f"v{number}")],
        workspaces=[Workspace("fosse", ["0" * 64], ["desk"], weight=number + 1)],
        drains=Drains(targets=[f"desk-{number}"]),
    )


def finish(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never waits, and return its result."""
    try:
        work.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine waits")


def build_vm(name: str, state: str = "live") -> Vm:
    """Return a target VM."""
    return Vm(name, "target", "dc-1", "north", "10.0.0.1:7001", state)  # type: ignore[arg-type]


class VmListSourceFake:
    """A VM list that can change, be unavailable and omit its entity tags."""

    def __init__(self, *vms: Vm) -> None:
        self.vms = vms
        self.down = False
        self.tags = True
        self.sizes: list[int] = []

    async def list_vms(self) -> Result[list[Vm], PlatformError]:
        return Ok(list(self.vms))

    async def list_vms_since(self, tag: str) -> Result[VmListResponse, PlatformError]:
        if self.down:
            return Err(PlatformUnavailableError("down"))
        current = hashlib.sha256(repr(self.vms).encode()).hexdigest()
        if not self.tags:
            current = ""
        if tag and tag == current:
            self.sizes.append(0)
            return Ok(VmListResponse(None, tag, 0))
        size = BYTES_PER_VM * len(self.vms)
        self.sizes.append(size)
        return Ok(VmListResponse(self.vms, current, size))
