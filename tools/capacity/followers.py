"""Runs many configuration followers, and measures how fast a change reaches all.

``python -m capacity.followers PLATFORM_URL COUNT CHANGES`` prints one JSON line: the
seconds until the last follower applied each change.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

import fire
import msgspec

from bamboopier_daemon.clock import read_clock
from bamboopier_daemon.daemon import keep_running
from bamboopier_objects.follower import ConfigurationFollower
from bamboopier_objects.http_platform import HttpPlatform
from bamboopier_objects.publisher import Publisher

if TYPE_CHECKING:
    from bamboopier_configuration.directory import Directory

TIMEOUT_SECONDS = 60.0


class _Propagation:
    """Counts the followers that have applied a generation."""

    def __init__(self, count: int) -> None:
        self._count = count
        self._reached: dict[int, int] = {}
        self.complete = asyncio.Event()
        # The generation that is counted.
        self.generation = 0

    def record_applied(self, directory: Directory) -> None:
        """Record that one follower has applied a generation."""
        if directory.generation != self.generation:
            return
        self._reached[self.generation] = self._reached.get(self.generation, 0) + 1
        if self._reached[self.generation] == self._count:
            self.complete.set()

    def expect(self, generation: int) -> None:
        """Start to count for ``generation``."""
        self.generation = generation
        self.complete.clear()


async def _measure(url: str, count: int, changes: int) -> list[float]:
    times: list[float] = []
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(HttpPlatform(url))
        store = Publisher(platform)
        base = (await store.read()).unwrap()
        propagation = _Propagation(count)
        propagation.expect(base.number)
        for number in range(count):
            own = await stack.enter_async_context(HttpPlatform(url))
            follower = ConfigurationFollower(
                own, propagation.record_applied, random.Random(number), read_clock
            )
            await stack.enter_async_context(keep_running(follower.run()))
        await asyncio.wait_for(propagation.complete.wait(), TIMEOUT_SECONDS)
        await asyncio.sleep(2.0)
        for change in range(changes):
            workspaces = list(base.configuration.workspaces)
            workspaces[0] = msgspec.structs.replace(workspaces[0], weight=change + 2.0)
            changed = msgspec.structs.replace(base.configuration, workspaces=workspaces)
            propagation.expect(base.number + 1)
            started = time.monotonic()
            base = (await store.publish(base, changed, f"change-{change}")).unwrap()
            await asyncio.wait_for(propagation.complete.wait(), TIMEOUT_SECONDS)
            times.append(time.monotonic() - started)
    return times


def main(url: str, count: int, changes: int) -> None:
    """Run the followers and print the times."""
    print(json.dumps(asyncio.run(_measure(url, count, changes))))


if __name__ == "__main__":
    fire.Fire(main)
