"""Durable claims of idempotency keys, many to one write.

Each partition is one platform object. Claims that arrive while a write is under way
wait and go together in the next one, so a burst costs writes per partition and not per
request.
"""

from __future__ import annotations

import asyncio
import hashlib
import time
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from bamboopier_decisions.claims.table import Claim, ClaimOutcome, Verdict, merge_claims
from bamboopier_platform.errors import (
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    VersionConflictError,
)
from bamboopier_platform.objects import ABSENT

if TYPE_CHECKING:
    from bamboopier_configuration.model import Service
    from bamboopier_platform.objects import ObjectStore

MAX_TRIES = 8
# A claim takes some 150 bytes; this keeps a partition below half a megabyte.
PARTITION_CAPACITY = 3000


class ClaimTable:
    """Claims keys of one service on behalf of the agent at ``holder``."""

    def __init__(self, objects: ObjectStore, holder: str) -> None:
        self._objects = objects
        self._holder = holder
        self._partitions: dict[str, _Partition] = {}

    async def claim(
        self,
        service: Service,
        workspace: str,
        key: str,
        fingerprint: bytes,
        attempt: str,
    ) -> Result[ClaimOutcome, PlatformError]:
        """Claim a key for one attempt; an error means the attempt must not run."""
        digest = hash_key(workspace, key)
        claim = Claim(digest, fingerprint, attempt, self._holder, time.time())
        return await self._find_partition(service, digest).submit(claim)

    def _find_partition(self, service: Service, digest: bytes) -> _Partition:
        number = int.from_bytes(digest[:4], "big") % service.claim_partitions
        name = f"claims/{service.name}/{service.claim_partitions}.{number}"
        partition = self._partitions.get(name)
        if partition is None:
            partition = _Partition(self._objects, name, service.key_lifetime_seconds)
            self._partitions[name] = partition
        return partition


class _Partition:
    """One claim object, its cached content and the claims waiting for a write."""

    def __init__(self, objects: ObjectStore, name: str, lifetime: float) -> None:
        self._objects = objects
        self._name = name
        self._lifetime = lifetime
        self._version = ABSENT
        self._claims: tuple[Claim, ...] = ()
        self._waiting: list[
            tuple[Claim, asyncio.Future[Result[ClaimOutcome, PlatformError]]]
        ] = []
        self._writer: asyncio.Task[None] | None = None

    async def submit(self, claim: Claim) -> Result[ClaimOutcome, PlatformError]:
        """Queue a claim for the next write and wait for its outcome."""
        future: asyncio.Future[Result[ClaimOutcome, PlatformError]] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.append((claim, future))
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_all())
        return await future

    async def _write_all(self) -> None:
        while self._waiting:
            batch, self._waiting = self._waiting, []
            claims = [claim for claim, _ in batch]
            answer = await self._commit(claims)
            for index, (_, future) in enumerate(batch):
                if future.done():
                    continue
                match answer:
                    case Ok(outcomes):
                        future.set_result(Ok(outcomes[index]))
                    case Err(error):
                        future.set_result(Err(error))

    async def _commit(
        self, claims: list[Claim]
    ) -> Result[list[ClaimOutcome], PlatformError]:
        """Write ``claims`` into the object; only a confirmed write grants anything.

        A lost answer is settled by reading: the attempt either stands there, or the
        next conditional write decides between it and whatever came in between.
        """
        last: PlatformError = PlatformUnavailableError(self._name)
        for _ in range(MAX_TRIES):
            merged, outcomes = merge_claims(
                self._claims, claims, time.time(), self._lifetime, PARTITION_CAPACITY
            )
            if not any(outcome.verdict is Verdict.GRANTED for outcome in outcomes):
                return Ok(outcomes)
            value = _encode(merged)
            answer = await self._objects.write(self._name, value, self._version)
            match answer:
                case Ok(version):
                    self._version = version
                    self._claims = merged
                    return Ok(outcomes)
                case Err(
                    VersionConflictError() | PlatformOutcomeUnknownError() as error
                ):
                    last = error
                    read = await self._reload()
                    if isinstance(read, Err):
                        return read
                case Err(error):
                    return Err(error)
        return Err(last)

    async def _reload(self) -> Result[None, PlatformError]:
        answer = await self._objects.read(self._name)
        if isinstance(answer, Err):
            return answer
        stored = answer.ok_value
        if stored is None:
            self._version, self._claims = ABSENT, ()
        else:
            self._version, self._claims = stored.version, _decode(stored.value)
        return Ok(None)


def hash_key(workspace: str, key: str) -> bytes:
    """Return the digest under which a workspace's key is claimed."""
    return hashlib.blake2b(f"{workspace}\0{key}".encode(), digest_size=16).digest()


def _encode(claims: tuple[Claim, ...]) -> bytes:
    return msgspec.msgpack.encode(claims)


def _decode(value: bytes) -> tuple[Claim, ...]:
    return msgspec.msgpack.decode(value, type=tuple[Claim, ...])
