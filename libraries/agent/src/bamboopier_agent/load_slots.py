"""Limits how many targets of a service load weights at once, by leased load slots."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from result import Err

from bamboopier_daemon.clock import read_clock
from bamboopier_daemon.daemon import keep_running
from bamboopier_decisions.membership.lease import Lease
from bamboopier_decisions.membership.load_slots import choose_slot

from .lease import LeaseManager

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator

    from bamboopier_objects.objects import ObjectStore

# Longer than a load may take, so that the slot of a killed holder becomes free only
# after that holder's load has ended.
SLOT_LEASE_SECONDS = 90.0
RENEW_INTERVAL_SECONDS = 20.0
PREFIX = "leases/loads/"


class LoadSlots:
    """The load slots of one service, from the point of view of one agent."""

    def __init__(
        self,
        objects: ObjectStore,
        service: str,
        holder: str,
        random: random.Random,
        *,
        prefix: str = PREFIX,
        lease_seconds: float = SLOT_LEASE_SECONDS,
    ) -> None:
        self._objects = objects
        self._service = service
        self._holder = holder
        self._random = random
        self._prefix = prefix
        self._lease_seconds = lease_seconds
        self._slots: dict[int, LeaseManager] = {}

    @asynccontextmanager
    async def acquire(self, count: int) -> AsyncIterator[LeaseManager | None]:
        """Hold one of the first ``count`` slots; yield None if none is free now.

        Each call reads all slots once. A slot costs one write to acquire, one to
        release, and one every 20 s while it is held.
        """
        slot = await self._acquire_free(count) if await self._observe(count) else None
        if slot is None:
            yield None
            return
        async with keep_running(_renew(slot)):
            yield slot
        await slot.release()

    async def _observe(self, count: int) -> bool:
        """Read all slots in one call; return False if the platform call failed."""
        for number in range(count):
            self._slots.setdefault(number, self._make_slot(number))
        result = await self._objects.scan(f"{self._prefix}{self._service}/")
        if isinstance(result, Err):
            return False
        for stored in result.ok_value:
            for slot in self._slots.values():
                if stored.key == slot.key:
                    slot.apply_read(stored)
        return True

    async def _acquire_free(self, count: int) -> LeaseManager | None:
        leases = {n: self._slots[n].lease for n in range(count)}
        order = self._random.sample(range(count), count)
        number = choose_slot(read_clock(), leases, order)
        if number is None or not await self._slots[number].acquire():
            return None
        return self._slots[number]

    def _make_slot(self, number: int) -> LeaseManager:
        # The place is unique to this process, unlike that of the target's lease. An
        # agent restarted after being killed must not take over its predecessor's slot
        # at once, because the engine may still be executing the predecessor's order.
        lease = Lease(self._holder, self._holder, self._lease_seconds)
        key = f"{self._prefix}{self._service}/{number}"
        return LeaseManager(self._objects, key, lease)


async def _renew(slot: LeaseManager) -> None:
    while True:
        await asyncio.sleep(RENEW_INTERVAL_SECONDS)
        await slot.acquire()
