"""Stores claims of idempotency keys durably in the platform's objects.

Each partition of the keys is one platform object. Claims of a partition that arrive
during a write are batched into the next one.
"""

from __future__ import annotations

import asyncio
import hashlib
import time
import uuid
from collections import OrderedDict
from typing import TYPE_CHECKING

from result import Err

from bamboopier_decisions.claims.table import Claim
from bamboopier_objects.errors import PlatformUnavailableError

from .claim_writer import ClaimWriter

if TYPE_CHECKING:
    from result import Result

    from bamboopier_configuration.model import Service
    from bamboopier_decisions.claims.table import ClaimOutcome
    from bamboopier_objects.errors import PlatformError
    from bamboopier_objects.objects import ObjectStore

# Must be the same in every process and never change: two agents that partition keys
# differently would grant one key twice, in two objects. Each claim reads and rewrites
# its partition, so many small partitions keep the traffic low: docs/design/claims.md.
PARTITIONS = 65_536
# A claim must outlast the longest request (an hour) plus differences between clocks, or
# the key is granted again during its first run.
MIN_LIFETIME_SECONDS = 2 * 3600.0
# A platform call that takes longer counts as failed, and the request is refused.
CLAIM_TIMEOUT_SECONDS = 2.0
# An abandoned claim is released before "not run" is reported, unless the release takes
# longer; it then continues in the background.
RELEASE_TIMEOUT_SECONDS = 0.5
# Abandoned claims whose ids are kept after their release, about 100 bytes each.
MAX_ABANDONED_IDS = 4096


class ClaimTable:
    """Claims keys of one service on behalf of the agent at ``holder``."""

    def __init__(self, objects: ObjectStore, holder: str) -> None:
        self._objects = objects
        self._holder = holder
        # Only partitions with pending work.
        self._writers: dict[str, ClaimWriter] = {}
        self._abandoned_ids: OrderedDict[str, None] = OrderedDict()
        # Ids of claims without an outcome yet, one for each waiting request.
        self._open_ids: set[str] = set()

    async def claim(
        self, service: Service, workspace: str, key: str, fingerprint: bytes
    ) -> Result[ClaimOutcome, PlatformError]:
        """Claim a key; a request may run only if granted, and at most one is granted.

        If the caller is cancelled or times out before the outcome, the claim is
        abandoned: it may be stored already or take effect later, and is released in the
        background. A caller that is granted the claim must record its run before it
        awaits anything, because the claim is no longer open then.
        """
        digest = hash_key(workspace, key)
        claim = Claim(digest, fingerprint, uuid.uuid4().hex, self._holder, time.time())
        writer = self._get_writer(service, digest)
        self._open_ids.add(claim.claim_id)
        try:
            return await self._submit(writer, claim)
        finally:
            self._open_ids.discard(claim.claim_id)

    async def _submit(
        self, writer: ClaimWriter, claim: Claim
    ) -> Result[ClaimOutcome, PlatformError]:
        """Wait for a claim's outcome; abandon the claim if it will not be used."""
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_SECONDS):
                result = await writer.submit(claim)
        except TimeoutError:
            self._abandon(writer, claim)
            return Err(PlatformUnavailableError("the platform is slow"))
        except asyncio.CancelledError:
            self._abandon(writer, claim)
            raise
        if isinstance(result, Err):
            self._record_abandoned(claim)
        return result

    async def release(self, service: Service, granted: ClaimOutcome) -> None:
        """Abandon a grant under which nothing was sent; wait briefly until released."""
        settled = self.abandon(service, granted)
        if settled is not None:
            await asyncio.wait({settled}, timeout=RELEASE_TIMEOUT_SECONDS)

    def abandon(
        self, service: Service, granted: ClaimOutcome
    ) -> asyncio.Task[None] | None:
        """Abandon a grant without waiting; the returned task ends once it is released.

        Returns None if there is no claim to release.
        """
        claim = granted.current
        if claim is None:
            return None
        self._record_abandoned(claim)
        writer = self._get_writer(service, claim.key)
        return writer.abandon(claim, granted.version)

    def is_abandoned(self, workspace: str, key: str) -> bool:
        """Return whether this agent claimed the key, abandoned it and never ran it."""
        digest = hash_key(workspace, key)
        return any(writer.is_abandoned(digest) for writer in self._writers.values())

    def was_abandoned(self, claim_id: str) -> bool:
        """Return whether a claim of this agent was abandoned, even if it is released.

        Another agent may have read the claim just before its release and recall it
        afterwards. Without a record of it, this agent would report no response, and the
        caller would receive "outcome unknown" for a request that never ran.
        """
        return claim_id in self._abandoned_ids

    def is_open(self, claim_id: str) -> bool:
        """Return whether a claim may still be granted or abandoned here.

        A claim is stored in the platform before the response arrives here. Another
        agent may read it meanwhile, and a recall of it may reach this agent. If the
        claim were treated as one whose response is lost, the caller would receive
        "outcome unknown" for a request that runs a moment later, or never. An id is
        open until its outcome arrives, and is recorded as running or abandoned in the
        same step of the event loop; a claim in none of these states is lost.
        """
        return claim_id in self._open_ids

    def _record_abandoned(self, claim: Claim) -> None:
        self._abandoned_ids[claim.claim_id] = None
        if len(self._abandoned_ids) > MAX_ABANDONED_IDS:
            self._abandoned_ids.popitem(last=False)

    async def wait_until_released(self) -> None:
        """Return once all abandoned claims are released.

        If the process ends earlier, keys that never ran stay "unknown" forever.
        """
        while self._writers:
            tasks = {writer.start() for writer in self._writers.values()}
            await asyncio.wait(tasks)

    def _get_writer(self, service: Service, digest: bytes) -> ClaimWriter:
        number = int.from_bytes(digest[:4], "big") % PARTITIONS
        name = f"claims/{service.name}/{number}"
        writer = self._writers.get(name)
        if writer is None:
            lifetime = max(service.key_lifetime_seconds, MIN_LIFETIME_SECONDS)
            writer = ClaimWriter(self._objects, name, lifetime, self._remove_writer)
            self._writers[name] = writer
        return writer

    def _abandon(self, writer: ClaimWriter, claim: Claim) -> None:
        """Release a claim in the background, by the current writer of its partition.

        The claim's own writer may have finished just before, and another may have
        replaced it. Shutdown waits only for the writers in the table: released by any
        other, the claim could remain, and its key would be "unknown" for its lifetime.
        """
        self._record_abandoned(claim)
        current = self._writers.setdefault(writer.name, writer)
        current.abandon(claim, 0 if current is writer else writer.version)

    def _remove_writer(self, name: str) -> None:
        """Remove the writer of a partition without pending work."""
        self._writers.pop(name, None)


def hash_key(workspace: str, key: str) -> bytes:
    """Return the digest under which a workspace's key is claimed."""
    return hashlib.blake2b(f"{workspace}\0{key}".encode(), digest_size=16).digest()
