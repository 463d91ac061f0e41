"""Keeps the configuration up to date and confirms its freshness when that is due.

A long watch delivers a new version as soon as it is stored. Beside it, the freshness is
confirmed whenever no other gateway has done so recently: a small configuration is read,
which confirms it beyond doubt. A large one is not: a gateway on a weak link would use
all its bandwidth to read unchanged content, and the next version would queue behind
these reads. There the response to a short watch is the confirmation.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog
from result import Err

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.watch_position import WatchPosition
from bamboopier_objects.errors import RESPONSE_ERRORS, WatchGapError
from bamboopier_objects.object_follower import find_created_at
from bamboopier_objects.objects import StoredObject

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from bamboopier_objects.errors import PlatformError
    from bamboopier_objects.objects import ChangeBatch

    from .configuration_loader import ConfigurationLoader
    from .store_availability import StoreAvailability
    from .store_schema import Store, StoreSchema

# Maximum size, in bytes, of a configuration that is read after each watch: half of the
# 22 KB a second that a node may use for control traffic.
SMALL_CONFIGURATION_BYTES = 10_000
# Duration of a watch that confirms a large configuration. With a longer one, a new
# version would more often come twice.
CHECK_SECONDS = 0.005
# Seconds from a check that found a new version until the long watch, which did not
# report it, is sent again: its connection has stalled.
STALLED_WATCH_SECONDS = 0.3
# Seconds for which a new version that another gateway has may be in transfer, for a
# small and for a large configuration: a megabyte on the slowest link.
SMALL_TRANSFER_SECONDS = 0.3
LARGE_TRANSFER_SECONDS = 2.0
# Delay before a failed request is retried.
RETRY_SECONDS = 0.25

log = structlog.get_logger()


class ConfigurationFollower:
    """Reads and watches the configuration until cancelled."""

    def __init__(
        self,
        store: Store,
        schema: StoreSchema,
        loader: ConfigurationLoader,
        availability: StoreAvailability,
        random: random.Random,
        watch_seconds: float,
    ) -> None:
        self._store = store
        self._watch_seconds = watch_seconds
        self._key = schema.configuration_key
        self._loader = loader
        self._availability = availability
        self._random = random
        self._failing_since: float | None = None
        # None before the first read, and when the configuration has to be read again.
        self._position: WatchPosition | None = None
        # Whether the store has to confirm the configuration before the next watch.
        self._must_confirm = False
        # The watch in flight, and the number of watches sent.
        self._watch_task: asyncio.Task[bool] | None = None
        self._watch_count = 0
        # Whether the response to the long watch has begun to arrive.
        self._arriving = False
        self._check_task: asyncio.Task[bool] | None = None
        # Consecutive watches that failed because the store no longer had the history.
        self._gap_count = 0
        # Size of the stored configuration in bytes.
        self._size = 0

    @property
    def is_small(self) -> bool:
        """Return whether the configuration is confirmed by reading it."""
        return self._size <= SMALL_CONFIGURATION_BYTES

    @property
    def transfer_seconds(self) -> float:
        """Return for how long a new version may be in transfer to this process."""
        return SMALL_TRANSFER_SECONDS if self.is_small else LARGE_TRANSFER_SECONDS

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._position is None or self._must_confirm:
                done = await self._confirm()
            else:
                done = await self._follow(self._position)
            if not done or self._has_repeated_gap():
                pause = RETRY_SECONDS * self._random.uniform(0.9, 1.0)
                await asyncio.sleep(pause)

    async def check(self) -> None:
        """Have the store confirm the configuration now, beside the watch in flight.

        Guards against a second copy of a large new version while the first arrives: on
        a weak link both would take twice as long.
        """
        if self._position is None or self._must_confirm or self._arriving:
            return
        watch_number, revision = self._watch_count, self._loader.revision
        task = self._check_task = asyncio.create_task(self._confirm())
        try:
            await asyncio.wait({task})
        finally:
            task.cancel()
        if task.cancelled():
            return
        if not task.result():
            self._abandon_watch(watch_number)
        elif self._loader.revision > revision:
            asyncio.get_running_loop().call_later(
                STALLED_WATCH_SECONDS, self._abandon_watch, watch_number
            )

    def _has_repeated_gap(self) -> bool:
        """Return whether a watch hit a gap right after the read that repaired one."""
        return self._position is None and self._gap_count > 1

    async def _confirm(self) -> bool:
        """Have the store confirm it; return False if that has to be retried soon."""
        if self._position is None or self.is_small:
            done = await self.read()
        else:
            done = await self._watch(self._position, CHECK_SECONDS)
        self._must_confirm = not done
        return done

    async def read(self) -> bool:
        """Read once; return False if the read has to be retried soon."""
        sent_at = read_clock()
        if self.is_small:
            # The transfer of a large one is slow even from a store that is available.
            self._availability.record_sent(sent_at)
        # A list reports the revision of the store at which it is valid; the revision of
        # the object itself may be older than the store's history.
        response = await self._store.list(self._key)
        now = read_clock()
        if isinstance(response, Err):
            if isinstance(response.err_value, RESPONSE_ERRORS):
                self._availability.record_response(sent_at, now)
            else:
                self._availability.record_failure(sent_at)
            self._record_failure(sent_at, str(response.err_value))
            return False
        self._availability.record_response(sent_at, now)
        self._record_response(now)
        listing = response.ok_value
        found = next((o for o in listing.objects if o.key == self._key), None)
        if found is None or not self._load(found, sent_at):
            return False
        self._position = WatchPosition(listing.revision)
        return True

    async def _follow(self, position: WatchPosition) -> bool:
        """Watch for a new version until it is stored, or the watch is abandoned."""
        self._watch_count += 1
        task = self._watch_task = asyncio.ensure_future(
            self._watch(position, self._watch_seconds, self._record_arriving)
        )
        try:
            done = await task
        except asyncio.CancelledError:
            if self._watch_task is task:
                raise
            return True
        finally:
            self._watch_task = None
            self._arriving = False
        self._must_confirm = self._must_confirm or not done
        return done

    def _record_arriving(self) -> None:
        """End a check that may receive the same large version."""
        self._arriving = True
        if self._check_task is not None and not self.is_small:
            self._check_task.cancel()

    def _abandon_watch(self, number: int) -> None:
        """Cancel the watch of this number if it is still in flight."""
        task = self._watch_task
        if task is not None and number == self._watch_count:
            log.warning("watch abandoned", key="configuration")
            self._watch_task = None
            task.cancel()

    async def _watch(
        self,
        position: WatchPosition,
        seconds: float,
        on_response: Callable[[], None] | None = None,
    ) -> bool:
        """Watch once; return False if the watch has to be retried soon."""
        sent_at = read_clock()
        response = await self._store.watch_values(
            self._key, position.revision, seconds, on_response
        )
        now = read_clock()
        if isinstance(response, Err):
            return self._handle_watch_error(sent_at, response.err_value)
        self._availability.record_response(sent_at, sent_at)
        self._record_response(now)
        self._gap_count = 0
        batch = response.ok_value
        if batch.changes:
            return self._apply_changes(sent_at, batch)
        created_at = find_created_at(sent_at, seconds, now, has_changes=False)
        self._loader.confirm(position.record_unchanged(created_at, now, batch.revision))
        return True

    def _apply_changes(self, sent_at: float, batch: ChangeBatch) -> bool:
        """Load the newest version received; request a new read if there is none."""
        found = [c for c in batch.changes if c.key == self._key]
        if not found or found[-1].value is None:
            self._position = None
            return True
        last = StoredObject(self._key, found[-1].version, found[-1].value)
        if not self._load(last, sent_at):
            return False
        self._position = WatchPosition(last.version)
        return True

    def _load(self, found: StoredObject, sent_at: float) -> bool:
        if not self._loader.load(found, sent_at):
            return False
        self._size = len(found.value)
        return True

    def _handle_watch_error(self, sent_at: float, error: PlatformError) -> bool:
        if isinstance(error, WatchGapError):
            self._availability.record_response(sent_at, sent_at)
            self._record_response(read_clock())
            log.info("watch gap", key="configuration", reason=str(error))
            self._gap_count += 1
            self._position = None
            return True
        self._record_failure(sent_at, str(error))
        # The revision stays valid: the store sends later changes once it has recovered.
        return False

    def _record_failure(self, sent_at: float, reason: str) -> None:
        self._loader.store_available = False
        if self._failing_since is None:
            self._failing_since = sent_at
            log.warning("store lost", key="configuration", reason=reason)

    def _record_response(self, now: float) -> None:
        self._loader.store_available = True
        if self._failing_since is None:
            return
        outage = now - self._failing_since
        self._failing_since = None
        log.info("store regained", key="configuration", away_seconds=round(outage, 3))
