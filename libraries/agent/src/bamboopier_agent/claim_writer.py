"""Writes one claim partition: one update at a time, many claims to an update."""

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

# Conflicts with other agents and lost answers before a claim is given up.
MAX_TRIES = 8
# A stored claim takes some 90 bytes; this keeps an object below 400 kB.
PARTITION_CAPACITY = 4000
# Pause between tries to release what was given up while the platform is away.
RELEASE_RETRY_SECONDS = 1.0


class _StoredClaim(msgspec.Struct, array_like=True):
    key: bytes
    fingerprint: bytes
    claim_id: str
    holder: str
    created: float


class _PendingClaim:
    """A claim and who waits for its outcome; done once nobody does."""

    __slots__ = ("claim", "future")

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.future: asyncio.Future[Result[ClaimOutcome, PlatformError]] = (
            asyncio.get_running_loop().create_future()
        )


class ClaimWriter:
    """Drives one ``ClaimPartition``; calls ``on_finished`` when nothing is left to do."""

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
        """Return the version of the partition that this writer saw last."""
        return self._partition.version

    def start(self) -> asyncio.Task[None]:
        """Return the task that works until nothing is left to do."""
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
        """Give a claim up; the task ends when it neither stands nor can land."""
        self._partition.abandon(claim, granted_version)
        return self.start()

    def is_abandoned(self, key: bytes) -> bool:
        """Say whether ``key`` was claimed here, given up and never run."""
        return self._partition.is_abandoned(key)

    async def _work(self) -> None:
        """Write until no claim waits and nothing given up is left."""
        while self._pending or not self._partition.all_released:
            self._arrived.clear()
            batch, self._pending = self._pending, []
            result = await self._commit(batch)
            if isinstance(result, Err):
                self._abandon_batch(batch, result)
                await self._back_off()
        self._on_finished(self.name)

    async def _back_off(self) -> None:
        """Wait before the next try, unless a new claim comes in."""
        if self._pending or self._partition.all_released:
            return
        pending = asyncio.ensure_future(self._arrived.wait())
        await asyncio.wait({pending}, timeout=RELEASE_RETRY_SECONDS)
        pending.cancel()

    async def _commit(self, batch: list[_PendingClaim]) -> Result[None, PlatformError]:
        """Write the batch into the object; only a confirmed write grants anything.

        A lost answer is settled by reading: the claim either stands there, or the next
        conditional write decides between it and whatever came in between.
        """
        last: PlatformError = PlatformUnavailableError(self.name)
        for _ in range(MAX_TRIES):
            read = await self._read()
            if isinstance(read, Err):
                return read
            # Whoever left meanwhile must not be granted what nobody would run.
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
                    # A conflict proves nothing either: whatever lies between may have
                    # sent this very write twice.
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
        """Tell all that they must not run; what may land yet is released later."""
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
