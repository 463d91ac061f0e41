"""Follows all objects below a prefix: lists them, then watches from that revision.

Guards against a history that is no longer stored (list again at once), a watch whose
connection is lost (list again after a delay, since changes may be missing), a
connection without any response (each call has its own time limit) and a store that
responds with an older revision than one already received (that response is dropped).

A watch may last long. Whether it hides changes meanwhile is found out by checks, short
calls beside it, or by what other processes have confirmed.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Protocol

import structlog
from result import Err

from .errors import WatchGapError
from .known_versions import KnownVersions

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from result import Result

    from .errors import PlatformError
    from .objects import ChangeBatch, ChangedObject, FollowedStore, Listing

# Delays after a failed call, doubled up to the maximum and drawn between half and all
# of it. A store that has recovered should be read within a second.
INITIAL_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 0.6
_MAX_DOUBLINGS = 8
# Seconds after the end of a watch within which an undelayed response arrives.
RESPONSE_GRACE_SECONDS = 0.1
# Pause after a response with changes: many changes at once, such as the start of all
# targets, arrive in few responses.
CHANGE_PAUSE_SECONDS = 0.6
# Duration of the watch that checks for changes: long enough for those that are being
# made.
CHECK_SECONDS = 0.05
# Seconds from a check that found changes until the long watch, which did not report
# them, is sent again: its connection has stalled.
STALLED_WATCH_SECONDS = 0.3

log = structlog.get_logger()


def find_created_at(
    sent_at: float, seconds: float, now: float, *, has_changes: bool
) -> float:
    """Return the earliest time at which the response to a watch was created.

    A response that is read late says nothing about changes after the store created it:
    at the end of the wait if there are none; but at any time if there are some, or if
    the store ended the wait early.
    """
    waited = not has_changes and now >= sent_at + seconds
    return sent_at + seconds if waited else sent_at


class ObjectObserver(Protocol):
    """Receives the objects below a prefix and their changes."""

    def apply_listing(
        self, listing: Listing, outage_seconds: float, known_until: float
    ) -> None:
        """Apply a complete list; the store did not respond for ``outage_seconds``.

        All changes until ``known_until`` have been reported: what is new in the list
        may have changed at any time since. It is minus infinity for the first list.
        """
        ...

    def apply_change(
        self, change: ChangedObject, known_until: float, *, late: bool
    ) -> None:
        """Apply the change of one object, reported by a watch.

        All changes until ``known_until`` have been reported before. ``late`` says that
        the response was delayed: the change may have happened at any time since.
        """
        ...


class ObjectFollower:
    """Keeps one observer up to date until cancelled."""

    def __init__(
        self,
        store: FollowedStore,
        prefix: str,
        observer: ObjectObserver,
        wait_seconds: float,
        random: random.Random,
        read_clock: Callable[[], float],
        max_age: float = math.inf,
        change_pause: float = CHANGE_PAUSE_SECONDS,
    ) -> None:
        self._store = store
        self.prefix = prefix
        self._observer = observer
        self._wait_seconds = wait_seconds
        # Seconds without a confirmation after which a change may have been delayed;
        # infinity where nothing confirms the list between two responses.
        self.max_age = max_age
        self._change_pause = change_pause
        self._random = random
        self._read_clock = read_clock
        self._failures = 0
        self._failing_since: float | None = None
        # The watch in flight, and the number of watches sent.
        self._watch_task: asyncio.Task[Result[ChangeBatch, PlatformError]] | None = None
        self._watch_count = 0
        # Whether the list has to be read again.
        self._must_list = False
        # All changes up to this revision of the store are known.
        self.revision = 0
        # Revision up to which objects may have changed unlike what is known; no change
        # was made after it, up to ``revision``.
        self.changed_revision = 0
        self._known = KnownVersions()
        # Time until which all changes have been reported.
        self.known_until = float("-inf")
        # Whether the list was read at least once.
        self.loaded = asyncio.Event()

    @property
    def fingerprint(self) -> int:
        """Return the same number as all processes that know the same objects."""
        return self._known.fingerprint

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not await self._load():
                await asyncio.sleep(self._draw_retry_delay())
                continue
            await self._follow()

    def confirm(self, known_until: float) -> None:
        """Record that no change after ``revision`` was made until ``known_until``."""
        if self.loaded.is_set():
            self.known_until = max(self.known_until, known_until)

    async def check(self, *, expects_change: bool = False) -> None:
        """Ask the store for changes now, beside the watch in flight.

        With ``expects_change`` another process knows of a change that is not known
        here. If the response contains none, an earlier one left it out, as one of a
        store that is about to drop its history may: the list is read again.
        """
        if not self.loaded.is_set() or self._failing_since is not None:
            return
        watch_number, revision = self._watch_count, self.revision
        sent_at = self._read_clock()
        response = await self._store.watch_values(self.prefix, revision, CHECK_SECONDS)
        if isinstance(response, Err):
            self._handle_error(sent_at, response.err_value)
            self._abandon_watch(watch_number)
            return
        fingerprint = self.fingerprint
        self._apply_batch(sent_at, CHECK_SECONDS, response.ok_value)
        if expects_change and self.fingerprint == fingerprint:
            log.warning("change left out", prefix=self.prefix, revision=self.revision)
            self._must_list = True
            self._abandon_watch(watch_number)
        elif response.ok_value.changes:
            asyncio.get_running_loop().call_later(
                STALLED_WATCH_SECONDS, self._abandon_watch, watch_number
            )

    async def _load(self) -> bool:
        self._must_list = False
        sent_at = self._read_clock()
        response = await self._store.list(self.prefix)
        if isinstance(response, Err):
            self._record_failure(sent_at, str(response.err_value))
            return False
        listing = response.ok_value
        if listing.revision < self.revision:
            self._record_failure(
                sent_at, f"revision {listing.revision} is older than the last one"
            )
            return False
        outage_seconds = self._record_success()
        self._observer.apply_listing(listing, outage_seconds, self.known_until)
        self.known_until = sent_at
        self.revision = listing.revision
        is_changed = self._known.replace({o.key: o.version for o in listing.objects})
        if is_changed or not self.loaded.is_set():
            # Not the revision of the newest object: what was removed is not listed.
            self.changed_revision = listing.revision
        self.loaded.set()
        return True

    async def _follow(self) -> None:
        """Watch until something fails."""
        while not self._must_list:
            sent_at = self._read_clock()
            response = await self._watch()
            if response is None:
                continue
            if isinstance(response, Err):
                self._handle_error(sent_at, response.err_value)
                if self._failing_since is not None:
                    await asyncio.sleep(self._draw_retry_delay())
                return
            self._record_success()
            self._apply_batch(sent_at, self._wait_seconds, response.ok_value)
            if response.ok_value.changes:
                await asyncio.sleep(self._change_pause)

    async def _watch(self) -> Result[ChangeBatch, PlatformError] | None:
        """Watch once; return None if the watch was abandoned."""
        self._watch_count += 1
        task = self._watch_task = asyncio.ensure_future(
            self._store.watch_values(self.prefix, self.revision, self._wait_seconds)
        )
        try:
            return await task
        except asyncio.CancelledError:
            if self._watch_task is task:
                raise
            return None
        finally:
            self._watch_task = None

    def _abandon_watch(self, number: int) -> None:
        """Cancel the watch of this number if it is still in flight."""
        task = self._watch_task
        if task is not None and number == self._watch_count:
            log.warning("watch abandoned", prefix=self.prefix, revision=self.revision)
            self._watch_task = None
            task.cancel()

    def _apply_batch(self, sent_at: float, seconds: float, batch: ChangeBatch) -> None:
        """Apply the response to a watch of ``seconds`` that was sent at ``sent_at``."""
        now = self._read_clock()
        waited = now - sent_at > seconds + RESPONSE_GRACE_SECONDS
        late = waited or now - self.known_until > self.max_age + RESPONSE_GRACE_SECONDS
        # A check and the watch report the same changes; the older response must not
        # undo what has been applied since.
        for change in batch.changes if batch.revision > self.revision else ():
            if self._is_news(change):
                self._observer.apply_change(change, self.known_until, late=late)
                self._record_change(change)
        if batch.revision >= self.revision:
            created_at = find_created_at(
                sent_at, seconds, now, has_changes=bool(batch.changes)
            )
            self.known_until = max(self.known_until, created_at)
        if batch.changes:
            self.changed_revision = max(self.changed_revision, batch.revision)
        self.revision = max(self.revision, batch.revision)

    def _is_news(self, change: ChangedObject) -> bool:
        if change.value is not None:
            return change.version > self.revision
        # The object may have been created again since.
        known = self._known.find(change.key)
        return known is None or change.version >= known

    def _record_change(self, change: ChangedObject) -> None:
        if change.value is None:
            self._known.remove(change.key)
        else:
            self._known.put(change.key, change.version)

    def _handle_error(self, sent_at: float, error: PlatformError) -> None:
        self._must_list = True
        if isinstance(error, WatchGapError):
            log.info("watch gap", prefix=self.prefix, revision=self.revision)
        else:
            self._record_failure(sent_at, str(error))

    def _record_failure(self, sent_at: float, reason: str) -> None:
        self._failures += 1
        if self._failing_since is None:
            self._failing_since = sent_at
            log.warning("store lost", prefix=self.prefix, reason=reason)

    def _record_success(self) -> float:
        """Return for how many seconds the store had not responded."""
        self._failures = 0
        if self._failing_since is None:
            return 0.0
        outage_seconds = self._read_clock() - self._failing_since
        self._failing_since = None
        log.info(
            "store regained", prefix=self.prefix, away_seconds=round(outage_seconds, 3)
        )
        return outage_seconds

    def _draw_retry_delay(self) -> float:
        doublings = min(self._failures - 1, _MAX_DOUBLINGS)
        max_delay = min(MAX_RETRY_SECONDS, INITIAL_RETRY_SECONDS * 2.0**doublings)
        return self._random.uniform(max_delay / 2, max_delay)
