"""Builds agents' weight updaters over an in-memory platform and engines."""

from __future__ import annotations

import asyncio
import itertools
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from bamboopier_agent.availability_gate import AvailabilityGate
from bamboopier_agent.errors import OrderFailedError, OrderRefusedError, TargetError
from bamboopier_agent.gate import AdmissionGate
from bamboopier_agent.lease import LeaseManager
from bamboopier_agent.load_slots import LoadSlots
from bamboopier_agent.weight_updater import WeightUpdater
from bamboopier_configuration.directory import Directory
from bamboopier_configuration.model import Configuration, Model, Service
from bamboopier_configuration.settings import Address, AgentSettings
from bamboopier_decisions.admission.controller import AdmissionController
from bamboopier_decisions.membership.lease import Lease
from bamboopier_objects.errors import (
    PlatformError,
    PlatformUnavailableError,
    VersionConflictError,
)
from bamboopier_objects.objects import StoredObject

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

DURATION = 60.0
SERVICE = "fault-desk"
_starts = itertools.count()


class Clock:
    """A monotonic clock that tests advance."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class Objects:
    """In-memory objects with conditional writes.

    A hook in ``after_write`` runs once, after the write and before its response.
    """

    def __init__(self) -> None:
        self.stored: dict[str, StoredObject] = {}
        self.revision = 0
        self.down = False
        self.after_write: dict[str, Callable[[], Awaitable[None]]] = {}

    async def read(self, key: str) -> Result[StoredObject | None, PlatformError]:
        if self.down:
            return Err(PlatformUnavailableError(key))
        return Ok(self.stored.get(key))

    async def scan(self, prefix: str) -> Result[list[StoredObject], PlatformError]:
        if self.down:
            return Err(PlatformUnavailableError(prefix))
        return Ok([o for key, o in self.stored.items() if key.startswith(prefix)])

    async def write(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, PlatformError]:
        if self.down:
            return Err(PlatformUnavailableError(key))
        found = self.stored[key].version if key in self.stored else 0
        if found != expected_version:
            return Err(VersionConflictError(key, expected_version, found))
        self.revision += 1
        self.stored[key] = StoredObject(key, self.revision, value)
        result = Ok(self.revision)
        hook = self.after_write.pop(key.split("/")[1], None)
        if hook is not None:
            await hook()
        return result


@dataclass
class Engine:
    """Records orders; loads end when ``finish`` is set."""

    checks_fencing: bool = True
    version: str = "v1"
    # How many states are reported with the old version after a load.
    late_reports: int = 0
    failing: bool = False
    fence: int = 0
    orders: list[tuple[str, int]] = field(default_factory=list)
    finish: asyncio.Event = field(default_factory=asyncio.Event)
    started: asyncio.Event = field(default_factory=asyncio.Event)
    loading: int = 0
    reported: str = "v1"

    async def load_weights(self, version: str, fence: int) -> Result[None, TargetError]:
        if self.checks_fencing and fence < self.fence:
            return Err(OrderRefusedError(str(fence)))
        self.fence = max(fence, self.fence)
        self.orders.append((version, fence))
        self.loading += 1
        self.started.set()
        try:
            await self.finish.wait()
        finally:
            self.loading -= 1
        if self.failing:
            return Err(OrderFailedError("status 500"))
        self.version = version
        return Ok(None)


class FakeMonitor:
    """Reports an engine's state like the agent's ``TargetMonitor``."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self.reachable = True
        self.version = engine.version
        self.refreshed = asyncio.Event()

    async def refresh(self) -> None:
        self.refreshed.set()
        if self._engine.late_reports > 0:
            self._engine.late_reports -= 1
        else:
            self.version = self._engine.version


@dataclass
class Published:
    """Replaces the follower: holds the configuration in force at one agent."""

    directory: Directory


class Agent:
    """The parts of an agent that order weight loads."""

    def __init__(
        self,
        objects: Objects,
        engine: Engine,
        name: str = "desk-1",
        vm: str = "",
        targets: int = 10,
        loads_at_once: int = 2,
        version: str = "v2",
    ) -> None:
        self.engine = engine
        self.gate = AdmissionGate(AdmissionController(4, 4, random.Random(1)))
        settings = build_settings(name)
        self.availability_gate = AvailabilityGate(settings, self.gate)
        holder = vm or name
        lease = Lease(f"{holder}:{next(_starts)}", f"place-of-{holder}", DURATION)
        self.lease = LeaseManager(objects, f"leases/targets/{name}", lease)  # type: ignore[arg-type]
        self.monitor = FakeMonitor(engine)
        self.weight_updater = WeightUpdater(
            SERVICE,
            engine,  # type: ignore[arg-type]
            self.monitor,  # type: ignore[arg-type]
            self.availability_gate,
            Published(build_directory(version, loads_at_once, engine)),  # type: ignore[arg-type]
            self.lease,
            LoadSlots(
                objects,  # type: ignore[arg-type]
                SERVICE,
                f"{holder}:{next(_starts)}",
                random.Random(2),
            ),
            lambda: targets,
            random.Random(3),
        )

    async def acquire_lease(self) -> bool:
        self.weight_updater.needs_lease()
        await self.lease.observe()
        return await self.lease.acquire()


def build_settings(name: str) -> AgentSettings:
    """Return settings whose addresses are not used."""
    address = Address("127.0.0.1", 0)
    return AgentSettings(
        vm=name,
        target=name,
        service=SERVICE,
        data_centre="dc-east",
        region="midlands",
        listen=address,
        admin=address,
        target_url="http://127.0.0.1",
        platform_url="http://127.0.0.1",
        block_secret="5a" * 32,
    )


def build_directory(version: str, loads_at_once: int, engine: Engine) -> Directory:
    """Return a configuration with one model service."""
    service = Service(
        SERVICE,
        "model",
        ["pillar-8b"],
        targets_check_fencing=engine.checks_fencing,
        loads_at_once=loads_at_once,
    )
    models = [Model("pillar-8b", version)]
    return Directory(1, Configuration(services=[service], models=models))
