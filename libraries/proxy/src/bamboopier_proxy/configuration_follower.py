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
            if not done:
                pause = RETRY_SECONDS * self._random.uniform(0.9, 1.0)
                await asyncio.sleep(pause)

    @property
    def _is_small(self) -> bool:
        return self._size <= SMALL_BYTES

    async def read(self) -> bool:
        """Read once; False when it must be tried again soon."""
        asked = read_clock()
        if self._is_small:
            # The answer of a large one is long on its way, from a store that serves.
            self._health.note_asked(asked)
        answer = await self._store.read(self._key)
        now = read_clock()
        if isinstance(answer, Err):
            self._health.note_failure(asked)
            self._note_failure(asked, str(answer.err_value))
            return False
        self._health.note_answer(asked, now)
        self._note_answer(now)
        found = answer.ok_value
        return found is not None and self._take(found, asked, prompt=False)

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
        batch = answer.ok_value
        if batch.changes:
            return self._take_changes(asked, batch)
        # Without a change it is made at the end of the wait.
        made = min(asked + seconds, now)
        self._intake.confirm(position.note_unchanged(made, now, batch.revision))
        self._choose_wait(prompt=False)
        return True

    def _take_changes(self, asked: float, batch: ChangeBatch) -> bool:
        """Take the newest version told; read again where there is none."""
        found = [c for c in batch.changes if c.key == self._key]
        if not found or found[-1].value is None:
            self._position = None
            return True
        last = StoredObject(self._key, found[-1].version, found[-1].value)
        return self._take(last, asked, prompt=True)

    def _take(self, found: StoredObject, asked: float, *, prompt: bool) -> bool:
        if not self._intake.take(found, asked):
            return False
        self._size = len(found.value)
        self._position = WatchPosition(found.version)
        self._choose_wait(prompt=prompt)
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
