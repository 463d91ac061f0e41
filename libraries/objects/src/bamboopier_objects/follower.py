"""Follows the published configuration and never applies an older generation."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from result import Err, Ok, Result

from bamboopier_configuration.directory import Directory
from bamboopier_configuration.model import Configuration

from .generations import GenerationStore
from .parts import HEAD_KEY

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from .errors import PlatformError
    from .generations import Generation
    from .objects import ObjectStore

# The head is read at least this often, so that a change whose notification is lost
# takes effect within the permitted 18 s. With 1,070 nodes that is 71 watches and 71
# reads a second.
WATCH_SECONDS = 15.0
# Delays after a failed read, doubled up to the maximum and drawn between half and all
# of it, so that after an outage 1,070 nodes send some 180 reads a second and not all
# of them at once.
INITIAL_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 8.0
# After a change every node reads the head and one part and sends a new watch. The nodes
# spread these calls over enough time to stay below this rate, which is half of the
# platform's capacity.
CALLS_PER_CHANGE = 3
CALLS_PER_SECOND = 1000
# Seconds within which a published configuration is in force everywhere.
IN_FORCE_SECONDS = 18.0


class ConfigurationPeers(Protocol):
    """Other processes of this system that may have a higher generation."""

    async def read_above(
        self, generation: int, store: GenerationStore
    ) -> Result[Generation | None, PlatformError]:
        """Return a higher generation from a peer, or None when none has one."""
        ...


class ConfigurationFollower:
    """Follows the published head and hands every newer generation to ``apply``.

    A platform replica that lags may return an older head. A generation below the one in
    force is dropped, so that the configuration never reverts while a process runs.
    A generation that a peer announces is fetched from the platform or, while the
    platform is unavailable or behind, from a peer.
    """

    def __init__(
        self,
        objects: ObjectStore,
        apply: Callable[[Directory], None],
        random: random.Random,
        read_clock: Callable[[], float],
        peers: ConfigurationPeers | None = None,
        count_nodes: Callable[[], int] = lambda: 1,
    ) -> None:
        self._objects = objects
        self.store = GenerationStore(objects)
        self._apply = apply
        self._random = random
        # Seconds on a clock that continues while the machine is suspended.
        self._read_clock = read_clock
        # When the read was sent that last showed the generation in force as current.
        self._confirmed_at = float("-inf")
        self._peers = peers
        self._newer_announced = asyncio.Event()
        self._awaited_version = 0
        self.directory = Directory(0, Configuration())
        self.loaded = asyncio.Event()
        self.highest_announced = 0
        # Number of processes that follow the same head, over which their reads spread.
        self._count_nodes = count_nodes

    @property
    def is_behind(self) -> bool:
        """Return whether a generation above the one in force has been announced."""
        return self.highest_announced > self.directory.generation

    @property
    def is_current(self) -> bool:
        """Return whether nothing can have been published that should be in force.

        What the configuration does not contain may be denied for good only then.
        """
        age = self._read_clock() - self._confirmed_at
        return not self.is_behind and age <= IN_FORCE_SECONDS

    def record_announced(self, generation: int) -> None:
        """Record a generation that a peer announced; read again if it is newer."""
        if generation > self.highest_announced:
            self.highest_announced = generation
            self._newer_announced.set()

    async def run(self) -> None:
        """Follow until cancelled."""
        revision = 0
        failures = 0
        while True:
            if await self.refresh():
                failures = 0
                revision = await self._wait_for_change(revision)
                continue
            await asyncio.sleep(self._draw_retry_delay(failures))
            failures += 1

    async def refresh(self) -> bool:
        """Read the head once and apply it if newer; return False if a retry is due."""
        sent_at = self._read_clock()
        response = await self.store.read()
        current = False
        if isinstance(response, Ok):
            found = response.ok_value
            self._apply_newer(found)
            self.loaded.set()
            # False when a watch reported a version that this replica does not show yet.
            current = found.head_version >= self._awaited_version
            if current:
                self._confirmed_at = sent_at
        elif self._peers is not None and self.directory.generation == 0:
            await self._read_from_peers(self._peers)
        if self.is_behind and self._peers is not None:
            await self._read_from_peers(self._peers)
        return current and not self.is_behind

    def _apply_newer(self, found: Generation) -> None:
        if found.number <= self.directory.generation:
            return
        self.directory = Directory(found.number, found.configuration)
        self.highest_announced = max(self.highest_announced, found.number)
        self._apply(self.directory)

    async def _read_from_peers(self, peers: ConfigurationPeers) -> None:
        response = await peers.read_above(self.directory.generation, self.store)
        if isinstance(response, Ok) and response.ok_value is not None:
            self._apply_newer(response.ok_value)
            self.loaded.set()

    async def _wait_for_change(self, revision: int) -> int:
        """Wait for a watched change or an announcement; return the revision reached."""
        self._newer_announced.clear()
        watch = asyncio.ensure_future(
            self._objects.watch(HEAD_KEY, revision, WATCH_SECONDS)
        )
        announced = asyncio.ensure_future(self._newer_announced.wait())
        try:
            await asyncio.wait({watch, announced}, return_when=asyncio.FIRST_COMPLETED)
            if not watch.done():
                await self._sleep_jitter()
                return revision
            match watch.result():
                case Ok(batch):
                    versions = [c.version for c in batch.changes if c.key == HEAD_KEY]
                    self._awaited_version = max(self._awaited_version, *versions, 0)
                    if versions and revision:
                        await self._sleep_jitter()
                    return batch.revision
                case Err(_):
                    await asyncio.sleep(self._draw_retry_delay(0))
                    return 0
        finally:
            watch.cancel()
            announced.cancel()

    async def _sleep_jitter(self) -> None:
        seconds = self._count_nodes() * CALLS_PER_CHANGE / CALLS_PER_SECOND
        await asyncio.sleep(self._random.uniform(0, seconds))

    def _draw_retry_delay(self, failures: int) -> float:
        max_delay = min(
            MAX_RETRY_SECONDS, INITIAL_RETRY_SECONDS * 2.0 ** min(failures, 8)
        )
        return self._random.uniform(max_delay / 2, max_delay)
