"""Keeps the configuration current, and proves all the time that it is.

A watch brings a new version as soon as there is one. A small configuration is read
after each watch, which proves it without any doubt. A large one is not: a gateway on a
weak link would spend all of it on reads of what has not changed, and the next version
would wait behind them. There the answer of the watch is the proof.
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

    from .configuration_intake import ConfigurationIntake
    from .store_health import StoreHealth
    from .vocabulary import Store, Vocabulary

# Bytes up to which a configuration is read after each watch: half of the 22 KB a second
# that a node may spend on control.
SMALL_BYTES = 10_000
# Seconds that a watch lasts after which a small configuration is read. A read is also
# what first shows that the store is away, before entries of targets lapse.
SMALL_WATCH_SECONDS = 0.9
# Seconds that a watch lasts which has to prove a large one.
LARGE_WATCH_SECONDS = 0.8
# The same after a new version: one that took long to arrive is an old proof by then.
PROMPT_WATCH_SECONDS = 0.05
# Seconds between two questions while they fail.
RETRY_SECONDS = 0.25

log = structlog.get_logger()


class ConfigurationFollower:
    """Reads and watches the configuration until cancelled."""

    def __init__(
        self,
        store: Store,
        vocabulary: Vocabulary,
        intake: ConfigurationIntake,
        health: StoreHealth,
        random: random.Random,
    ) -> None:
        self._store = store
        self._key = vocabulary.configuration_key
        self._intake = intake
        self._health = health
        self._random = random
        self._failing_since: float | None = None
        # None until it was read, and when it has to be read again.
        self._position: WatchPosition | None = None
        self._wait_seconds = SMALL_WATCH_SECONDS
        # Watches in a row whose history was gone.
        self._gaps = 0
        # Bytes of the configuration as it lies in the store.
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
            if not done or self._has_gap_again():
                pause = RETRY_SECONDS * self._random.uniform(0.9, 1.0)
                await asyncio.sleep(pause)

    def _has_gap_again(self) -> bool:
        """Say whether a watch failed right after the read that a gap made necessary."""
        return self._position is None and self._gaps > 1

    @property
    def _is_small(self) -> bool:
        return self._size <= SMALL_BYTES

    async def read(self) -> bool:
        """Read once; False when it must be tried again soon."""
        asked = read_clock()
        if self._is_small:
            # The answer of a large one is long on its way, from a store that serves.
            self._health.note_asked(asked)
        # A list says at which revision of the store it holds; the object's own may be
        # older than the store's history.
        answer = await self._store.list(self._key)
        now = read_clock()
        if isinstance(answer, Err):
            self._health.note_failure(asked)
            self._note_failure(asked, str(answer.err_value))
            return False
        self._health.note_answer(asked, now)
        self._note_answer(now)
        listing = answer.ok_value
        found = next((o for o in listing.objects if o.key == self._key), None)
        if found is None or not self._take(found, asked):
            return False
        self._position = WatchPosition(listing.revision)
        self._choose_wait(prompt=False)
        return True

    async def _watch(self, position: WatchPosition) -> bool:
        """Watch once; False when it must be tried again soon."""
        seconds = self._wait_seconds
        asked = read_clock()
        answer = await self._store.watch_values(self._key, position.revision, seconds)
        now = read_clock()
        if isinstance(answer, Err):
            return self._take_failure(asked, answer.err_value)
        self._health.note_answer(asked, asked)
        self._note_answer(now)
        self._gaps = 0
        batch = answer.ok_value
        if batch.changes:
            return self._take_changes(asked, batch)
        # Without a change it is made at the end of the wait.
        made = min(asked + seconds, now)
        self._intake.confirm(position.record_unchanged(made, now, batch.revision))
        self._choose_wait(prompt=False)
        return True

    def _take_changes(self, asked: float, batch: ChangeBatch) -> bool:
        """Take the newest version told; read again where there is none."""
        found = [c for c in batch.changes if c.key == self._key]
        if not found or found[-1].value is None:
            self._position = None
            return True
        last = StoredObject(self._key, found[-1].version, found[-1].value)
        if not self._take(last, asked):
            return False
        self._position = WatchPosition(last.version)
        self._choose_wait(prompt=True)
        return True

    def _take(self, found: StoredObject, asked: float) -> bool:
        if not self._intake.take(found, asked):
            return False
        self._size = len(found.value)
        return True

    def _choose_wait(self, *, prompt: bool) -> None:
        if self._is_small:
            self._wait_seconds = SMALL_WATCH_SECONDS
        else:
            self._wait_seconds = PROMPT_WATCH_SECONDS if prompt else LARGE_WATCH_SECONDS

    def _take_failure(self, asked: float, fault: PlatformError) -> bool:
        if isinstance(fault, WatchGapError):
            self._health.note_answer(asked, asked)
            self._note_answer(read_clock())
            log.info("watch gap", key="configuration", reason=str(fault))
            self._gaps += 1
            self._position = None
            return True
        self._note_failure(asked, str(fault))
        # The revision stands: what changed since is told when the store is back.
        self._choose_wait(prompt=True)
        return False

    def _note_failure(self, asked: float, reason: str) -> None:
        self._intake.store_answers = False
        if self._failing_since is None:
            self._failing_since = asked
            log.warning("store lost", key="configuration", reason=reason)

    def _note_answer(self, now: float) -> None:
        self._intake.store_answers = True
        if self._failing_since is None:
            return
        away = now - self._failing_since
        self._failing_since = None
        log.info("store regained", key="configuration", away_seconds=round(away, 3))
