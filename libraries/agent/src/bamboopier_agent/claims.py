"""Durable claims of idempotency keys in the platform's objects.

Each partition is one platform object. Claims of one partition that arrive while a
write is under way go together in the next one.
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

# The same in every process and for ever: two agents that divide keys differently
# would grant one key twice, in two objects. Each claim reads and rewrites its
# partition, so many small ones keep the traffic down: docs/design/claims.md.
PARTITIONS = 65_536
# A claim must outlive the longest request (an hour) and clocks that differ, or the key
# is granted again while its first run goes on.
MIN_LIFETIME_SECONDS = 2 * 3600.0
# A platform that takes longer is as good as down: refused, truthfully and at once.
CLAIM_TIMEOUT_SECONDS = 2.0
# A given-up claim is released before "not run" is said, unless that takes longer; it
# goes on in the background then.
RELEASE_TIMEOUT_SECONDS = 0.5
# Claims given up that are remembered after their release, some 100 bytes each.
MAX_ABANDONED_IDS = 4096


class ClaimTable:
    """Claims keys of one service on behalf of the agent at ``holder``."""

    def __init__(self, objects: ObjectStore, holder: str) -> None:
        self._objects = objects
        self._holder = holder
        # Only partitions with work under way; the platform has the rest.
        self._writers: dict[str, ClaimWriter] = {}
        self._abandoned_ids: OrderedDict[str, None] = OrderedDict()
        # Ids of claims that have no outcome here yet; one for each request that waits.
        self._open_ids: set[str] = set()

    async def claim(
        self, service: Service, workspace: str, key: str, fingerprint: bytes
    ) -> Result[ClaimOutcome, PlatformError]:
        """Claim a key; only a grant lets a request run, and only one.

        Whoever leaves before the outcome (cancelled, or too late) gives the claim up:
        it may stand or land later, and is released in the background. Whoever is
        granted it notes the run before awaiting anything: the claim is no longer open.
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
        """Wait for a claim's outcome; one that will not be used is given up."""
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
        """Give up a grant under which nothing was sent to the target."""
        settled = self.abandon(service, granted)
        if settled is not None:
            await asyncio.wait({settled}, timeout=RELEASE_TIMEOUT_SECONDS)

    def abandon(
        self, service: Service, granted: ClaimOutcome
    ) -> asyncio.Task[None] | None:
        """Give up a grant without waiting; the task ends once it is released."""
        claim = granted.current
        if claim is None:
            return None
        self._record_abandoned(claim)
        writer = self._get_writer(service, claim.key)
        return writer.abandon(claim, granted.version)

    def is_abandoned(self, workspace: str, key: str) -> bool:
        """Say whether this agent claimed the key, gave it up and never ran it."""
        digest = hash_key(workspace, key)
        return any(writer.is_abandoned(digest) for writer in self._writers.values())

    def was_abandoned(self, claim_id: str) -> bool:
        """Say whether a claim of this agent was given up, released by now or not.

        Another agent may have read the claim just before its release. Asked about it
        afterwards, this one would know nothing of the key, and the caller would be told
        "outcome unknown" of a request that nobody ran.
        """
        return claim_id in self._abandoned_ids

    def is_open(self, claim_id: str) -> bool:
        """Say whether a claim may yet be granted or given up here.

        It stands in the platform before the answer is back, and another agent may read
        it and have this one asked meanwhile. Taken for one whose answer is lost, its
        caller would be told "outcome unknown" of a request that runs a moment later,
        or that nobody runs. An id is open until its outcome is taken in, and is noted
        as a run or as given up in the same step; what is none of these is lost.
        """
        return claim_id in self._open_ids

    def _record_abandoned(self, claim: Claim) -> None:
        self._abandoned_ids[claim.claim_id] = None
        if len(self._abandoned_ids) > MAX_ABANDONED_IDS:
            self._abandoned_ids.popitem(last=False)

    async def wait_until_released(self) -> None:
        """Return once nothing given up is left to release.

        A process that ends sooner leaves keys that nobody ran "unknown" for ever.
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
        """Release in the background; the writer may have ended a moment ago.

        Another may work for its partition by then, and takes the claim over. Released
        by a writer that is not in the table, it would be left behind by a stop, which
        waits for those that are, and its key would be "unknown" for its lifetime.
        """
        self._record_abandoned(claim)
        current = self._writers.setdefault(writer.name, writer)
        current.abandon(claim, 0 if current is writer else writer.version)

    def _remove_writer(self, name: str) -> None:
        """Drop a partition that has nothing left to do."""
        self._writers.pop(name, None)


def hash_key(workspace: str, key: str) -> bytes:
    """Return the digest under which a workspace's key is claimed."""
    return hashlib.blake2b(f"{workspace}\0{key}".encode(), digest_size=16).digest()
