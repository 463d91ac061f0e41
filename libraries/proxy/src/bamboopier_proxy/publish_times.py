"""Writes down when weights were named, for processes that start later.

Failure answered: all gateways lose power just after new weights were named. Those that
start anew find the version in the store, but not for how long it has been there, and
would let older weights serve for the whole time allowed once more.

The time of day is the only clock that outlives a machine. It may be off by seconds, so
a time read from the store is taken as ``ENTRY_ERROR_SECONDS`` older than it says.
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
from bamboopier_objects.errors import VersionConflictError
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

# Machines' times of day jump by a few seconds at the most, and jump back.
CLOCK_ERROR_SECONDS = 3.0
# Seconds by which an entry may look too young: its writer's clock was ahead, and the
# reader's is behind.
ENTRY_ERROR_SECONDS = 2 * CLOCK_ERROR_SECONDS
# Gateways write a little apart, so that most find the entry written.
WRITE_SPREAD_SECONDS = 0.4
# Seconds after a naming within which a process heard of it at once.
TIMELY_SECONDS = 1.0
RETRY_SECONDS = 0.4
MAX_TRIES = 5
# Seconds for which entries are kept whose time is over: longer than any day's clock
# error and any time allowed for older weights.
RETENTION_SECONDS = 3600.0
# Seconds after a start, or after the news, until all is written that was named just
# before: the last to write begins after three times ``WRITE_SPREAD_SECONDS``.
SETTLE_SECONDS = 1.4
# Seconds within which a start removes what is long over: processes that start together
# find it removed by the first of them.
CLEANUP_SPREAD_SECONDS = 20.0

log = structlog.get_logger()


class PublishedAt(msgspec.Struct):
    """When a version may have been named at the earliest, in seconds since 1970."""

    seconds: float
    # Its writer did not know, and may be wrong by any time.
    guessed: bool = False


class CreateOutcome(StrEnum):
    """What became of the wish to write an entry."""

    CREATED = "yes"
    # It was there.
    EXISTS = "found"
    # The store took none.
    FAILED = "refused"


class _Entry(msgspec.Struct):
    model: str
    version: int
    # Seconds.
    age: float
    guessed: bool


async def follow_weights(publish_times: PublishTimes, follower: ObjectFollower) -> None:
    """Follow the named versions, once it is known since when those there are named.

    Without that a gateway that starts anew refuses all older weights, and an agent
    counts its target's turn from its own start. Nothing else is waited for: a process
    that removed old entries first would not be ready until the store has taken all.
    """
    await publish_times.read_entries()
    await asyncio.gather(
        follower.run(),
        publish_times.retry_unknown(follower.loaded),
        publish_times.clean_up_later(),
    )


class PublishTimes:
    """Entries below a prefix, one for each model and version."""

    def __init__(
        self, store: Store, prefix: str, weights: WeightVersions, random: random.Random
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._weights = weights
        self._random = random
        self._tasks: set[asyncio.Task[None]] = set()

    def record_published(self, model: str, version: int, since: float) -> None:
        """Write down that a version was named, at ``since`` at the earliest."""
        self._start(self._write(model, version, since))

    def read_if_late(self, model: str, version: int, since: float) -> None:
        """Read what others wrote of a version, unless it was heard of at once."""
        guessed = self._weights.is_guessed(model, version)
        if _find_write_rank(read_clock() - since, guessed) > 0:
            self._start(self._read_until_written(model, version))

    async def finish(self) -> None:
        """Wait until all that is being read and written is done or given up."""
        await asyncio.gather(*self._tasks)

    async def clean_up(self) -> None:
        """Read all entries, and remove those that say nothing any more."""
        for entries in (await self.read_entries()).values():
            await self._remove_all_but_newest(entries)

    async def clean_up_later(self) -> None:
        """Remove old entries some time after a start."""
        await asyncio.sleep(self._random.uniform(0, CLEANUP_SPREAD_SECONDS))
        await self.clean_up()

    async def read_entries(self) -> OldEntries:
        """Read all entries, again and again until the store answers.

        Returns those whose time is long over, by model.
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
        """Read once more after a start, if the age of a version is still unknown.

        Versions named just before the start are written down just after it. Not known
        then, they would end older weights at once for as long as this process runs.
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
        """Read until somebody has had the time to write a version down."""
        await self.read_entries()
        if not self._weights.is_recorded(model, version):
            await asyncio.sleep(SETTLE_SECONDS)
            await self.read_entries()

    def _decode(self, found: StoredObject) -> _Entry | None:
        """Return what an entry says; None if it is broken."""
        name = found.key.removeprefix(self._prefix)
        model, _, version = name.rpartition("/")
        try:
            named = msgspec.json.decode(found.value, type=PublishedAt)
            number = int(version)
        except (msgspec.MsgspecError, ValueError) as error:
            log.warning("entry set aside", key=name, reason=str(error))
            return None
        age = max(0.0, time.time() - named.seconds) + ENTRY_ERROR_SECONDS
        return _Entry(model, number, age, named.guessed)

    def _apply_entry(self, entry: _Entry) -> None:
        since = read_clock() - entry.age
        self._weights.record_publish_time(
            entry.model, entry.version, since, guessed=entry.guessed
        )
        log.info(
            "weights known",
            model=entry.model,
            weight_version=entry.version,
            age=round(entry.age, 1),
            guessed=entry.guessed,
        )

    async def _remove_all_but_newest(
        self, entries: list[tuple[int, StoredObject]]
    ) -> None:
        """Remove entries of a model whose time is long over, but for the newest.

        That one still says that what is older may not serve. Nothing in the store
        lapses by itself: a start would read all that were ever named.
        """
        newest = max(version for version, _ in entries)
        for version, found in entries:
            if version == newest:
                continue
            removed = await self._store.delete(found.key, found.version)
            if isinstance(removed, Err):
                # Another process was faster, or the next start tries again.
                reason = str(removed.err_value)
                log.info("old naming not removed", key=found.key, reason=reason)

    async def _write(self, model: str, version: int, since: float) -> None:
        age = read_clock() - since
        named_at = time.time() - age
        guessed = self._weights.is_guessed(model, version)
        rank = _find_write_rank(age, guessed)
        await asyncio.sleep(WRITE_SPREAD_SECONDS * (rank + self._random.random()))
        key = f"{self._prefix}{model}/{version}"
        value = msgspec.json.encode(PublishedAt(named_at, guessed))
        created = await self._create(key, value)
        if created is CreateOutcome.FAILED:
            log.warning("naming not written", model=model, weight_version=version)
        if rank > 0 and created is not CreateOutcome.CREATED:
            # A process that heard late knows less than the others, of this version and
            # of those named before it that it never heard of.
            await self.read_entries()

    async def _create(self, key: str, value: bytes) -> CreateOutcome:
        """Write an entry unless it is there."""
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
    """Return who writes first: those that heard at once, those that guess, the others.

    A guess is that weights were named as the store came back for all. One that stood
    still meanwhile cannot guess so, and knows only that they may be as old as the
    outage: written first, that ends older weights at all that read it.
    """
    if guessed:
        return 1
    return 2 if age > TIMELY_SECONDS else 0
