"""Keeps the configuration up to date and continually confirms its freshness.

A watch delivers a new version as soon as it is stored. A small configuration is also
read after each watch, which confirms it beyond doubt. A large one is not: a gateway on
a weak link would use all its bandwidth to read unchanged content, and the next version
would queue behind these reads. For a large configuration the response of the watch is
the confirmation.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog
from result import Err

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.watch_position import WatchPosition
from bamboopier_objects.errors import WatchGapError
from bamboopier_objects.objects import StoredObject

if TYPE_CHECKING:
    import random

    from bamboopier_objects.errors import PlatformError
    from bamboopier_objects.objects import ChangeBatch

    from .configuration_loader import ConfigurationLoader
    from .store_availability import StoreAvailability
    from .store_schema import Store, StoreSchema

# Maximum size, in bytes, of a configuration that is read after each watch: half of the
# 22 KB a second that a node may use for control traffic.
SMALL_CONFIGURATION_BYTES = 10_000
# Duration of a watch of a small configuration, after which it is read. The read is also
# the first call that reveals a store outage, before entries of targets expire.
SMALL_WATCH_SECONDS = 0.9
# Duration of a watch that has to confirm a large configuration.
LARGE_WATCH_SECONDS = 0.8
# The same after a new version: the confirmation of a version that was transferred
# slowly is already old when it arrives.
SHORT_WATCH_SECONDS = 0.05
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
    ) -> None:
        self._store = store
        self._key = schema.configuration_key
        self._loader = loader
        self._availability = availability
        self._random = random
        self._failing_since: float | None = None
        # None before the first read, and when the configuration has to be read again.
        self._position: WatchPosition | None = None
        self._wait_seconds = SMALL_WATCH_SECONDS
        # Consecutive watches that failed because the store no longer had the history.
        self._gap_count = 0
        # Size of the stored configuration in bytes.
        self._size = 0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._position is None or self._is_small:
                done = await self.read()
            else:
                done = True
            if done and self._position is not None:
                done = await self._watch(self._position)
            if not done or self._has_repeated_gap():
                pause = RETRY_SECONDS * self._random.uniform(0.9, 1.0)
                await asyncio.sleep(pause)

    def _has_repeated_gap(self) -> bool:
        """Return whether a watch hit a gap right after the read that repaired one."""
        return self._position is None and self._gap_count > 1

    @property
    def _is_small(self) -> bool:
        return self._size <= SMALL_CONFIGURATION_BYTES

    async def read(self) -> bool:
        """Read once; return False if the read has to be retried soon."""
        sent_at = read_clock()
        if self._is_small:
            # The transfer of a large one is slow even from a store that is available.
            self._availability.record_sent(sent_at)
        # A list reports the revision of the store at which it is valid; the revision of
        # the object itself may be older than the store's history.
        response = await self._store.list(self._key)
        now = read_clock()
        if isinstance(response, Err):
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
        self._choose_wait(short=False)
        return True

    async def _watch(self, position: WatchPosition) -> bool:
        """Watch once; return False if the watch has to be retried soon."""
        seconds = self._wait_seconds
        sent_at = read_clock()
        response = await self._store.watch_values(self._key, position.revision, seconds)
        now = read_clock()
        if isinstance(response, Err):
            return self._handle_watch_error(sent_at, response.err_value)
        self._availability.record_response(sent_at, sent_at)
        self._record_response(now)
        self._gap_count = 0
        batch = response.ok_value
        if batch.changes:
            return self._apply_changes(sent_at, batch)
        # Without a change the store creates its response at the end of the wait.
        response_created_at = min(sent_at + seconds, now)
        self._loader.confirm(
            position.record_unchanged(response_created_at, now, batch.revision)
        )
        self._choose_wait(short=False)
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
        self._choose_wait(short=True)
        return True

    def _load(self, found: StoredObject, sent_at: float) -> bool:
        if not self._loader.load(found, sent_at):
            return False
        self._size = len(found.value)
        return True

    def _choose_wait(self, *, short: bool) -> None:
        if self._is_small:
            self._wait_seconds = SMALL_WATCH_SECONDS
        else:
            self._wait_seconds = SHORT_WATCH_SECONDS if short else LARGE_WATCH_SECONDS

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
        self._choose_wait(short=True)
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
