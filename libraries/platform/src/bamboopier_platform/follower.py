"""Keep a process on the newest configuration generation it has ever seen."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err, Ok

from bamboopier_configuration.directory import Directory
from bamboopier_configuration.model import Configuration

from .generations import HEAD_KEY, GenerationStore

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from .objects import ObjectStore

WATCH_SECONDS = 30.0
# After a failed call; spread, so that a fleet does not return in one wave.
RETRY_SECONDS = (0.2, 2.0)


class ConfigurationFollower:
    """Follows the published head and hands every newer generation to ``apply``.

    A platform replica that lags may answer with an older head: a generation below the
    highest seen is dropped, so that configuration never reverts while a process runs.
    """

    def __init__(
        self,
        objects: ObjectStore,
        apply: Callable[[Directory], None],
        random: random.Random,
    ) -> None:
        self._objects = objects
        self._store = GenerationStore(objects)
        self._apply = apply
        self._random = random
        self._hinted = asyncio.Event()
        self.directory = Directory(0, Configuration())
        self.loaded = asyncio.Event()
        self.highest_heard = 0

    def hear(self, generation: int) -> None:
        """Note a generation that a peer's message named; read again if it is newer."""
        if generation > self.highest_heard:
            self.highest_heard = generation
            self._hinted.set()

    async def run(self) -> None:
        """Follow until cancelled."""
        revision = 0
        while True:
            if not await self.refresh():
                await asyncio.sleep(self._random.uniform(*RETRY_SECONDS))
                continue
            revision = await self._wait_for_change(revision)

    async def refresh(self) -> bool:
        """Read the head once and apply it if it is newer; False when that failed."""
        answer = await self._store.read()
        if isinstance(answer, Err):
            return False
        found = answer.ok_value
        if found.number > self.directory.generation:
            self.directory = Directory(found.number, found.configuration)
            self.highest_heard = max(self.highest_heard, found.number)
            self._apply(self.directory)
        self.loaded.set()
        return True

    async def _wait_for_change(self, revision: int) -> int:
        """Wait for a watched change or a peer's hint; return the revision reached."""
        self._hinted.clear()
        watch = asyncio.ensure_future(
            self._objects.watch(HEAD_KEY, revision, WATCH_SECONDS)
        )
        hint = asyncio.ensure_future(self._hinted.wait())
        try:
            await asyncio.wait({watch, hint}, return_when=asyncio.FIRST_COMPLETED)
            if not watch.done():
                return revision
            match watch.result():
                case Ok(batch):
                    return batch.revision
                case Err(_):
                    await asyncio.sleep(self._random.uniform(*RETRY_SECONDS))
                    return 0
        finally:
            watch.cancel()
            hint.cancel()
