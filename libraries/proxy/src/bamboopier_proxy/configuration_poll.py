"""Reads the configuration at short intervals: each answer proves what is current.

A watch would be cheaper in calls, but one that says nothing proves nothing. An answer
to a read does, from the moment it was asked. One call for each gateway in each interval
is 0.05% of the store's reads at the four gateways of the smallest installation.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog
from result import Err

from bamboopier_daemon.clock import read_clock

if TYPE_CHECKING:
    import random

    from bamboopier_objects.objects import ObjectStore

    from .configuration_intake import ConfigurationIntake
    from .store_health import StoreHealth
    from .vocabulary import Vocabulary

# Seconds between two reads. A change is to be in force within two seconds.
POLL_SECONDS = 0.9
# Seconds between two reads while they fail.
RETRY_SECONDS = 0.25

log = structlog.get_logger()


class ConfigurationPoll:
    """Keeps the configuration current until cancelled."""

    def __init__(
        self,
        store: ObjectStore,
        vocabulary: Vocabulary,
        intake: ConfigurationIntake,
        health: StoreHealth,
        random: random.Random,
    ) -> None:
        self._store = store
        self._vocabulary = vocabulary
        self._intake = intake
        self._health = health
        self._random = random
        self._failing_since: float | None = None

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            pause = POLL_SECONDS if await self.read() else RETRY_SECONDS
            await asyncio.sleep(pause * self._random.uniform(0.9, 1.0))

    async def read(self) -> bool:
        """Read once; False when it must be tried again soon."""
        asked = read_clock()
        self._health.note_asked(asked)
        answer = await self._store.read(self._vocabulary.configuration_key)
        now = read_clock()
        if isinstance(answer, Err):
            self._note_failure(asked, str(answer.err_value))
            return False
        self._note_answer(asked, now)
        found = answer.ok_value
        if found is None:
            return False
        return self._intake.take(found, asked)

    def _note_failure(self, asked: float, reason: str) -> None:
        self._health.note_failure(asked)
        if self._failing_since is None:
            self._failing_since = asked
            log.warning("store lost", key="configuration", reason=reason)

    def _note_answer(self, asked: float, now: float) -> None:
        self._health.note_answer(asked, now)
        if self._failing_since is None:
            return
        away = now - self._failing_since
        self._failing_since = None
        log.info("store regained", key="configuration", away_seconds=round(away, 3))
