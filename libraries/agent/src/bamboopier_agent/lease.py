"""Stores a lease in a platform object and maintains it as ``Lease`` decides."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.membership.lease import Lease, LeaseRecord, ObservedLease
from bamboopier_objects.decoding import DECODE_ERRORS

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from bamboopier_decisions.membership.lease import LeaseWrite
    from bamboopier_objects.objects import ObjectStore, StoredObject

# 730 agents that renew every 20 s write 37 times a second, a tenth of the platform's
# write capacity. A lease outlasts two failed renewals.
TARGET_LEASE_SECONDS = 60.0
RENEW_INTERVAL_SECONDS = 20.0
# How often a lease that another process holds is read. The wait until it expires
# restarts whenever its version has changed.
OBSERVE_INTERVAL_SECONDS = 10.0
# How often to check whether a lease is needed: a newly configured service may need one.
NEED_POLL_INTERVAL_SECONDS = 0.5


class LeaseManager:
    """Reads, acquires, renews and releases the lease in one platform object."""

    def __init__(self, objects: ObjectStore, key: str, lease: Lease) -> None:
        self._objects = objects
        self.key = key
        self.lease = lease

    @property
    def held(self) -> bool:
        """Return whether the lease is held, so that an order may be sent now."""
        return self.lease.is_held(read_clock())

    async def observe(self) -> bool:
        """Read the lease's object once; return False if the platform call failed."""
        result = await self._objects.read(self.key)
        if isinstance(result, Err):
            return False
        if result.ok_value is not None:
            self.apply_read(result.ok_value)
        return True

    def apply_read(self, stored: StoredObject) -> None:
        """Update the lease from the object as it was read."""
        try:
            record = msgspec.json.decode(stored.value, type=LeaseRecord)
        except DECODE_ERRORS:
            # Not written by this program; treated like a released lease.
            record = None
        self.lease.observe(read_clock(), ObservedLease(stored.version, record))

    async def acquire(self) -> bool:
        """Acquire or renew the lease if possible; return whether it is held then."""
        if not await self._can_acquire():
            return False
        await self._write(self.lease.acquire(read_clock()))
        return self.held

    async def release(self) -> None:
        """Release the lease, so that the next holder does not have to wait."""
        write = self.lease.release(read_clock())
        if write is not None:
            await self._write(write)

    async def maintain(
        self, is_needed: Callable[[], bool], random: random.Random
    ) -> None:
        """Hold the lease whenever it is needed and available, until cancelled."""
        while True:
            if not is_needed():
                await asyncio.sleep(NEED_POLL_INTERVAL_SECONDS)
                continue
            if self.lease.fence == 0:
                await self.observe()
            held = await self.acquire()
            seconds = RENEW_INTERVAL_SECONDS if held else OBSERVE_INTERVAL_SECONDS
            wait = self.lease.find_wait(read_clock())
            if not held and 0 < wait < seconds:
                seconds = wait
            await asyncio.sleep(seconds * random.uniform(0.9, 1.0))

    async def _can_acquire(self) -> bool:
        """Return whether the lease may be acquired now; read it again if not."""
        if self.lease.find_wait(read_clock()) > 0:
            await self.observe()
        return self.lease.find_wait(read_clock()) == 0.0

    async def _write(self, write: LeaseWrite) -> None:
        """Write the lease and update it to the object's content afterwards.

        After a lost response or a conflict the object is read: the HTTP library may
        have resent a write that took effect, and a delayed write may still take effect.
        """
        value = msgspec.json.encode(write.record)
        result = await self._objects.write(self.key, value, write.expected_version)
        if isinstance(result, Ok):
            self.lease.observe(
                read_clock(), ObservedLease(result.ok_value, write.record)
            )
        else:
            await self.observe()
