"""Many configuration followers in one process, to see a change reach all of them.

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

REACH_SECONDS = 60.0


class _Reach:
    """Counts the followers that are on a generation and says when all are."""

    def __init__(self, count: int) -> None:
        self._count = count
        self._reached: dict[int, int] = {}
        self.complete = asyncio.Event()
        self.wanted = 0

    def note(self, directory: Directory) -> None:
        """Take one follower's step to a generation."""
        if directory.generation != self.wanted:
            return
        self._reached[self.wanted] = self._reached.get(self.wanted, 0) + 1
        if self._reached[self.wanted] == self._count:
            self.complete.set()

    def expect(self, generation: int) -> None:
        """Wait for ``generation`` from now on."""
        self.wanted = generation
        self.complete.clear()


async def _measure(url: str, count: int, changes: int) -> list[float]:
    times: list[float] = []
    async with AsyncExitStack() as stack:
        platform = await stack.enter_async_context(HttpPlatform(url))
        store = Publisher(platform)
        base = (await store.read()).unwrap()
        reach = _Reach(count)
        reach.expect(base.number)
        for number in range(count):
            own = await stack.enter_async_context(HttpPlatform(url))
            follower = ConfigurationFollower(
                own, reach.note, random.Random(number), read_clock
            )
            await stack.enter_async_context(keep_running(follower.run()))
        await asyncio.wait_for(reach.complete.wait(), REACH_SECONDS)
        await asyncio.sleep(2.0)
        for change in range(changes):
            workspaces = list(base.configuration.workspaces)
            workspaces[0] = msgspec.structs.replace(workspaces[0], weight=change + 2.0)
            changed = msgspec.structs.replace(base.configuration, workspaces=workspaces)
            reach.expect(base.number + 1)
            started = time.monotonic()
            base = (await store.publish(base, changed, f"change-{change}")).unwrap()
            await asyncio.wait_for(reach.complete.wait(), REACH_SECONDS)
            times.append(time.monotonic() - started)
    return times


def main(url: str, count: int, changes: int) -> None:
    """Run the followers and print the times."""
    print(json.dumps(asyncio.run(_measure(url, count, changes))))


if __name__ == "__main__":
    fire.Fire(main)
