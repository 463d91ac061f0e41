"""Loads the configured weight version into the target, under its lease and a load slot.

The lease ensures that one agent at a time sends orders to the target; the load slots
limit how many targets of the service load at once.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING

import structlog
from result import Err

from bamboopier_decisions.membership.lease import TakeoverPolicy
from bamboopier_decisions.membership.load_slots import count_slots

from .errors import OrderFailedError, OrderRefusedError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from bamboopier_configuration.model import Service
    from bamboopier_objects.follower import ConfigurationFollower

    from .availability_gate import AvailabilityGate
    from .lease import LeaseManager
    from .load_slots import LoadSlots
    from .target import TargetClient
    from .target_monitor import TargetMonitor

RECONCILE_INTERVAL_SECONDS = 0.5
# With 41 targets of a model waiting for two slots, this makes 55 reads a second.
SLOT_RETRY_SECONDS = 1.5
# How long an engine may report its old version after it accepted an order, or after the
# order's response was lost. The slot is held meanwhile.
READ_BACK_TIMEOUT_SECONDS = 60.0
READ_BACK_POLL_SECONDS = 0.1
# How long the slot is held after a load, so that gateways receive the report that the
# target is open again before the next target closes. Without this delay callers are
# refused: gateways have no report of a target with the new version yet, and the last
# targets with the old version are loading.
SLOT_HOLD_SECONDS = 2.0
# Delay after a failed load, doubled with each failure up to the maximum.
INITIAL_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 60.0

log = structlog.get_logger()


class LoadOutcome(StrEnum):
    """The outcome of one reconciliation; LOADED also if there was nothing to load."""

    LOADED = "loaded"
    NO_LEASE = "no-lease"
    NO_SLOT = "no-slot"
    REFUSED = "refused"
    FAILED = "failed"


class WeightUpdater:
    """Compares the target's version with the configured one and orders loads."""

    def __init__(
        self,
        service_name: str,
        target: TargetClient,
        monitor: TargetMonitor,
        availability_gate: AvailabilityGate,
        follower: ConfigurationFollower,
        lease: LeaseManager,
        slots: LoadSlots,
        count_targets: Callable[[], int],
        random: random.Random,
    ) -> None:
        self._service_name = service_name
        self._target = target
        self._monitor = monitor
        self._availability_gate = availability_gate
        self._follower = follower
        self._lease = lease
        self._slots = slots
        self._count_targets = count_targets
        self._random = random

    async def run(self) -> None:
        """Reconcile until cancelled."""
        failures = 0
        while True:
            outcome = await self.reconcile()
            failures = failures + 1 if outcome is LoadOutcome.FAILED else 0
            await asyncio.sleep(self._choose_delay(outcome, failures))

    def needs_lease(self) -> bool:
        """Return whether the target needs a lease, and set the lease's takeover policy.

        A target that checks fencing tokens allows a takeover at once.
        """
        service = self._follower.directory.services.get(self._service_name)
        if service is None or service.kind != "model":
            return False
        checks = service.targets_check_fencing
        self._lease.lease.takeover = (
            TakeoverPolicy.AT_ONCE if checks else TakeoverPolicy.AFTER_WAIT
        )
        return True

    async def reconcile(self) -> LoadOutcome:
        """Load the configured version if the target serves another."""
        service = self._follower.directory.services.get(self._service_name)
        configured_version = self.find_configured_version(service)
        if service is None or not configured_version or not self._monitor.reachable:
            return LoadOutcome.LOADED
        if self._monitor.version == configured_version:
            return LoadOutcome.LOADED
        if not self._lease.held:
            return LoadOutcome.NO_LEASE
        count = count_slots(service.loads_at_once, self._count_targets())
        async with self._slots.acquire(count) as slot:
            if slot is None:
                return LoadOutcome.NO_SLOT
            outcome = await self._load(configured_version, slot)
            if outcome is LoadOutcome.LOADED:
                await asyncio.sleep(SLOT_HOLD_SECONDS)
        log.info("weights ordered", version=configured_version, outcome=outcome.value)
        return outcome

    def find_configured_version(self, service: Service | None) -> str:
        """Return the configured version; empty unless the service has one model."""
        if service is None or service.kind != "model" or len(service.models) != 1:
            return ""
        model = self._follower.directory.models.get(service.models[0])
        return model.version if model is not None else ""

    async def _load(self, configured_version: str, slot: LeaseManager) -> LoadOutcome:
        """Order the load and wait until the engine reports the new version.

        Until then the engine may serve either version. The gate is closed meanwhile,
        because a request made for one version could run on the other.
        """
        self._availability_gate.set_loading(True)
        try:
            # The write detects whether another process has taken over the lease while
            # this process or its machine was suspended.
            if not await self._lease.acquire():
                return LoadOutcome.NO_LEASE
            if not slot.held or not self._lease.held:
                return LoadOutcome.NO_LEASE
            result = await self._target.load_weights(
                configured_version, self._lease.lease.fence
            )
            if isinstance(result, Err):
                if isinstance(result.err_value, OrderRefusedError):
                    return LoadOutcome.REFUSED
                if isinstance(result.err_value, OrderFailedError):
                    return LoadOutcome.FAILED
            return await self._read_back(configured_version)
        finally:
            self._availability_gate.set_loading(False)

    async def _read_back(self, configured_version: str) -> LoadOutcome:
        """Wait until the engine reports the version."""
        tries = int(READ_BACK_TIMEOUT_SECONDS / READ_BACK_POLL_SECONDS)
        for _ in range(tries):
            await self._monitor.refresh()
            if self._monitor.reachable and self._monitor.version == configured_version:
                return LoadOutcome.LOADED
            await asyncio.sleep(READ_BACK_POLL_SECONDS)
        return LoadOutcome.FAILED

    def _choose_delay(self, outcome: LoadOutcome, failures: int) -> float:
        if outcome is LoadOutcome.NO_SLOT:
            return self._random.uniform(0.5, 1.0) * SLOT_RETRY_SECONDS
        if outcome in (LoadOutcome.FAILED, LoadOutcome.REFUSED):
            max_delay = INITIAL_RETRY_SECONDS * 2.0 ** min(failures, 8)
            return self._random.uniform(0.5, 1.0) * min(MAX_RETRY_SECONDS, max_delay)
        return RECONCILE_INTERVAL_SECONDS
