"""Stores when weight versions were published, for processes that start later.

Guards against a simultaneous power loss of all gateways just after a weight version was
published. Restarted gateways find the version in the store, but not how long it has
been there, and would let older weights serve for the full time allowed once more.

Wall-clock time is the only clock that survives a restart of the machine. It may be off
by seconds, so a time read from the store is assumed to be ``ENTRY_ERROR_SECONDS`` older
than it says.
"""

from __future__ import annotations

import asyncio
import time
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec
import structlog
from result import Err

from bamboopier_daemon.clock import read_clock
from bamboopier_objects.decoding import DECODE_ERRORS, BoundedFloat
from bamboopier_objects.errors import VersionConflictError
from bamboopier_objects.invalid_entries import open_invalid_entries
from bamboopier_objects.objects import ABSENT

if TYPE_CHECKING:
    import random
    from collections.abc import Coroutine
    from typing import Any

    from bamboopier_decisions.forwarding.weight_versions import WeightVersions
    from bamboopier_objects.object_follower import ObjectFollower
    from bamboopier_objects.objects import StoredObject

    from .store_schema import Store

    # Versions with their entries, by model.
    OldEntries = dict[str, list[tuple[int, StoredObject]]]

# Maximum error of a machine's wall clock, which may jump by a few seconds and back.
CLOCK_ERROR_SECONDS = 3.0
# Maximum time by which an entry may look too young: the writer's clock was ahead, and
# the reader's is behind.
ENTRY_ERROR_SECONDS = 2 * CLOCK_ERROR_SECONDS
# Writes of gateways are spread over this time, so that most find the entry written.
WRITE_SPREAD_SECONDS = 0.4
# Maximum age of a publication that counts as received at once.
TIMELY_SECONDS = 1.0
RETRY_SECONDS = 0.4
MAX_TRIES = 5
# Time for which entries are retained: longer than any error of a wall clock and any
# time allowed for older weights.
RETENTION_SECONDS = 3600.0
# Time after a start or an update until the entries of versions published just before
# are written: the last writer starts after three times ``WRITE_SPREAD_SECONDS``.
SETTLE_SECONDS = 1.4
# Time after a start within which obsolete entries are removed: of processes that start
# together, most find them already removed by the first.
CLEANUP_SPREAD_SECONDS = 20.0

log = structlog.get_logger()


class PublishedAt(msgspec.Struct):
    """Earliest time at which a version was published, in seconds since 1970."""

    seconds: BoundedFloat
    # Whether the writer only guessed; the time may be wrong by any amount.
    guessed: bool = False


class CreateOutcome(StrEnum):
    """Result of writing an entry that should not exist yet."""

    CREATED = "yes"
    # The entry already existed.
    EXISTS = "found"
    # The store accepted no write.
    FAILED = "refused"


class _Entry(msgspec.Struct):
    model: str
    version: int
    # Seconds since the publication.
    age: float
    guessed: bool


async def follow_weights(publish_times: PublishTimes, follower: ObjectFollower) -> None:
    """Read the stored publication times, then follow the published versions.

    Without these times a gateway that starts would refuse all older weights, and an
    agent would count its target's wave of the rollout from its own start. Nothing else
    is done first: a process that removed old entries before would not be ready until
    the store had accepted all deletions.
    """
    await publish_times.read_entries()
    await asyncio.gather(
        follower.run(),
        publish_times.retry_unknown(follower.loaded),
        publish_times.clean_up_later(),
    )


class PublishTimes:
    """Entries below a key prefix, one for each model and version."""

    def __init__(
        self, store: Store, prefix: str, weights: WeightVersions, random: random.Random
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._weights = weights
        self._random = random
        self._tasks: set[asyncio.Task[None]] = set()

    def record_published(self, model: str, version: int, since: float) -> None:
        """Write that a version was published, at ``since`` at the earliest."""
        self._start(self._write(model, version, since))

    def read_if_late(self, model: str, version: int, since: float) -> None:
        """Read the time that others wrote, unless the version was received at once."""
        guessed = self._weights.is_guessed(model, version)
        if _find_write_rank(read_clock() - since, guessed) > 0:
            self._start(self._read_until_written(model, version))

    async def finish(self) -> None:
        """Wait until all reads and writes have finished or been abandoned."""
        await asyncio.gather(*self._tasks)

    async def clean_up(self) -> None:
        """Read all entries, and remove the obsolete ones."""
        for entries in (await self.read_entries()).values():
            await self._remove_all_but_newest(entries)

    async def clean_up_later(self) -> None:
        """Remove obsolete entries some time after a start."""
        await asyncio.sleep(self._random.uniform(0, CLEANUP_SPREAD_SECONDS))
        await self.clean_up()

    async def read_entries(self) -> OldEntries:
        """Read and apply all entries, retrying until the store answers.

        Return the entries that are older than the retention time, by model.
        """
        while True:
            listing = await self._store.list(self._prefix)
            if not isinstance(listing, Err):
                break
            await asyncio.sleep(RETRY_SECONDS * self._random.uniform(0.5, 1.0))
        old: OldEntries = {}
        for found in listing.ok_value.objects:
            entry = self._decode(found)
            if entry is None:
                continue
            self._apply_entry(entry)
            if entry.age > RETENTION_SECONDS:
                old.setdefault(entry.model, []).append((entry.version, found))
        return old

    async def retry_unknown(self, loaded: asyncio.Event) -> None:
        """Read once more after a start if the age of a version is still unknown.

        Entries of versions published just before the start are written just after it.
        Without them, older weights would count as expired for as long as this process
        runs.
        """
        await loaded.wait()
        await asyncio.sleep(SETTLE_SECONDS)
        if self._weights.has_unknown_publish_time():
            await self.read_entries()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read_until_written(self, model: str, version: int) -> None:
        """Read, and read again later if no process has written the version yet."""
        await self.read_entries()
        if not self._weights.is_recorded(model, version):
            await asyncio.sleep(SETTLE_SECONDS)
            await self.read_entries()

    def _decode(self, found: StoredObject) -> _Entry | None:
        """Decode an entry; return None if it is invalid."""
        name = found.key.removeprefix(self._prefix)
        model, _, version = name.rpartition("/")
        try:
            entry = msgspec.json.decode(found.value, type=PublishedAt)
            number = int(version)
        except DECODE_ERRORS as error:
            open_invalid_entries().report(found.key, str(error))
            return None
        age = max(0.0, time.time() - entry.seconds) + ENTRY_ERROR_SECONDS
        return _Entry(model, number, age, entry.guessed)

    def _apply_entry(self, entry: _Entry) -> None:
        since = read_clock() - entry.age
        self._weights.record_publish_time(
            entry.model, entry.version, since, guessed=entry.guessed
        )
        log.info(
            "weight publication time read",
            model=entry.model,
            weight_version=entry.version,
            age=round(entry.age, 1),
            guessed=entry.guessed,
        )

    async def _remove_all_but_newest(
        self, entries: list[tuple[int, StoredObject]]
    ) -> None:
        """Remove the obsolete entries of a model except the newest.

        The newest still says that older weights may not serve. Entries in the store do
        not expire: without removal, a start would read all versions ever published.
        """
        newest = max(version for version, _ in entries)
        for version, found in entries:
            if version == newest:
                continue
            removed = await self._store.delete(found.key, found.version)
            if isinstance(removed, Err):
                # Another process has removed it, or the next start tries again.
                reason = str(removed.err_value)
                log.info(
                    "old publication time not removed", key=found.key, reason=reason
                )

    async def _write(self, model: str, version: int, since: float) -> None:
        age = read_clock() - since
        published_at = time.time() - age
        guessed = self._weights.is_guessed(model, version)
        rank = _find_write_rank(age, guessed)
        await asyncio.sleep(WRITE_SPREAD_SECONDS * (rank + self._random.random()))
        key = f"{self._prefix}{model}/{version}"
        value = msgspec.json.encode(PublishedAt(published_at, guessed))
        created = await self._create(key, value)
        if created is CreateOutcome.FAILED:
            log.warning(
                "publication time not written", model=model, weight_version=version
            )
        if rank > 0 and created is not CreateOutcome.CREATED:
            # A process that received the version late has less precise times than the
            # others, of this version and of earlier ones that it never received.
            await self.read_entries()

    async def _create(self, key: str, value: bytes) -> CreateOutcome:
        """Write an entry unless it exists."""
        for _ in range(MAX_TRIES):
            written = await self._store.write(key, value, ABSENT)
            error = written.err_value if isinstance(written, Err) else None
            if error is None:
                return CreateOutcome.CREATED
            if isinstance(error, VersionConflictError):
                return CreateOutcome.EXISTS
            await asyncio.sleep(RETRY_SECONDS)
        return CreateOutcome.FAILED


def _find_write_rank(age: float, guessed: bool) -> int:
    """Return the rank in which a process writes; 0 writes first.

    Processes that received the version at once write first, then those that guess, then
    the others. A guess assumes that the version was published when the store recovered
    for all. A process that was paused meanwhile cannot guess, and assumes only that the
    version may be as old as the outage: if it wrote first, older weights would expire
    at all processes that read the entry.
    """
    if guessed:
        return 1
    return 2 if age > TIMELY_SECONDS else 0
