"""Writes one claim partition, one update at a time, with many claims in an update."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from bamboopier_decisions.claims.partition import ClaimPartition
from bamboopier_decisions.claims.table import Claim, ClaimOutcome
from bamboopier_objects.errors import (
    MalformedObjectError,
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    VersionConflictError,
)
from bamboopier_objects.objects import ABSENT

if TYPE_CHECKING:
    from collections.abc import Callable

    from bamboopier_objects.objects import ObjectStore

# Tries after conflicts with other agents or lost responses before claims are abandoned.
MAX_TRIES = 8
# A stored claim takes about 90 bytes; this limit keeps an object below 400 kB.
PARTITION_CAPACITY = 4000
# Back-off between tries to release abandoned claims while the platform is unavailable.
RELEASE_RETRY_SECONDS = 1.0


class _StoredClaim(msgspec.Struct, array_like=True):
    key: bytes
    fingerprint: bytes
    claim_id: str
    holder: str
    created: float


class _PendingClaim:
    """A claim and the future of its outcome, which is done if the caller cancels it."""

    __slots__ = ("claim", "future")

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.future: asyncio.Future[Result[ClaimOutcome, PlatformError]] = (
            asyncio.get_running_loop().create_future()
        )


class ClaimWriter:
    """Drives one ``ClaimPartition``; calls ``on_finished`` once no work is pending.

    ``lifetime`` of a claim is in seconds.
    """

    def __init__(
        self,
        objects: ObjectStore,
        name: str,
        lifetime: float,
        on_finished: Callable[[str], None],
    ) -> None:
        self._objects = objects
        self.name = name
        self._on_finished = on_finished
        self._partition = ClaimPartition(lifetime, PARTITION_CAPACITY)
        self._pending: list[_PendingClaim] = []
        self._arrived = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def version(self) -> int:
        """Return the version of the partition that this writer read or wrote last."""
        return self._partition.version

    def start(self) -> asyncio.Task[None]:
        """Return the task that runs until no work is pending, started if necessary."""
        self._arrived.set()
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._work())
        return self._task

    async def submit(self, claim: Claim) -> Result[ClaimOutcome, PlatformError]:
        """Queue a claim for the next update and wait for its outcome."""
        pending = _PendingClaim(claim)
        self._pending.append(pending)
        self.start()
        return await pending.future

    def abandon(self, claim: Claim, granted_version: int = 0) -> asyncio.Task[None]:
        """Abandon a claim; the task ends once it is not stored and cannot be later."""
        self._partition.abandon(claim, granted_version)
        return self.start()

    def is_abandoned(self, key: bytes) -> bool:
        """Return whether ``key`` was claimed here, abandoned and never run."""
        return self._partition.is_abandoned(key)

    async def _work(self) -> None:
        """Write until no claim is pending and all abandoned claims are released."""
        while self._pending or not self._partition.all_released:
            self._arrived.clear()
            batch, self._pending = self._pending, []
            result = await self._commit(batch)
            if isinstance(result, Err):
                self._abandon_batch(batch, result)
                await self._back_off()
        self._on_finished(self.name)

    async def _back_off(self) -> None:
        """Wait before the next try, unless a new claim arrives."""
        if self._pending or self._partition.all_released:
            return
        pending = asyncio.ensure_future(self._arrived.wait())
        await asyncio.wait({pending}, timeout=RELEASE_RETRY_SECONDS)
        pending.cancel()

    async def _commit(self, batch: list[_PendingClaim]) -> Result[None, PlatformError]:
        """Write the batch into the object; only a confirmed write grants a claim.

        After a lost response the object is read: either it contains the claim, or the
        next conditional write decides between the claim and other updates.
        """
        last: PlatformError = PlatformUnavailableError(self.name)
        for _ in range(MAX_TRIES):
            read = await self._read()
            if isinstance(read, Err):
                return read
            # A cancelled claim must not be granted, because nothing would run under it.
            pending = [entry for entry in batch if not entry.future.done()]
            claims = [entry.claim for entry in pending]
            plan = self._partition.plan(claims, time.time())
            if not plan.needs_write:
                self._set_outcomes(pending, plan.outcomes)
                return Ok(None)
            value = _encode(plan.claims)
            result = await self._objects.write(self.name, value, plan.expected_version)
            match result:
                case Ok(version):
                    self._partition.commit(plan, version)
                    self._set_outcomes(pending, plan.outcomes)
                    return Ok(None)
                case Err(
                    VersionConflictError() | PlatformOutcomeUnknownError() as error
                ):
                    # Even after a conflict the write may have taken effect: a layer in
                    # between may have sent it twice.
                    self._partition.mark_uncertain(plan)
                    last = error
                case Err(error):
                    self._partition.abort()
                    return Err(error)
        return Err(last)

    def _set_outcomes(
        self, pending: list[_PendingClaim], outcomes: tuple[ClaimOutcome, ...]
    ) -> None:
        for entry, outcome in zip(pending, outcomes, strict=True):
            if not entry.future.done():
                updated = replace(outcome, version=self._partition.version)
                entry.future.set_result(Ok(updated))

    def _abandon_batch(
        self, batch: list[_PendingClaim], error: Err[PlatformError]
    ) -> None:
        """Fail the batch; claims that may still take effect are released later."""
        for entry in batch:
            self._partition.abandon(entry.claim)
            if not entry.future.done():
                entry.future.set_result(error)

    async def _read(self) -> Result[None, PlatformError]:
        result = await self._objects.read(self.name)
        if isinstance(result, Err):
            return result
        stored = result.ok_value
        if stored is None:
            self._partition.apply_read(ABSENT, ())
            return Ok(None)
        try:
            claims = _decode(stored.value)
        except msgspec.MsgspecError as error:
            return Err(MalformedObjectError(f"{self.name}: {error}"))
        self._partition.apply_read(stored.version, claims)
        return Ok(None)


def _encode(claims: tuple[Claim, ...]) -> bytes:
    stored = [
        _StoredClaim(c.key, c.fingerprint, c.claim_id, c.holder, c.created)
        for c in claims
    ]
    return msgspec.msgpack.encode(stored)


def _decode(value: bytes) -> tuple[Claim, ...]:
    stored = msgspec.msgpack.decode(value, type=list[_StoredClaim])
    return tuple(
        Claim(s.key, s.fingerprint, s.claim_id, s.holder, s.created) for s in stored
    )
