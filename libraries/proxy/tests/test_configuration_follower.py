"""Tests of checks beside the long watch of the configuration."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from result import Ok

from bamboopier_objects.objects import (
    ChangeBatch,
    ChangedObject,
    Listing,
    StoredObject,
)
from bamboopier_proxy.configuration_follower import (
    SMALL_CONFIGURATION_BYTES,
    ConfigurationFollower,
)

if TYPE_CHECKING:
    from collections.abc import Callable

WATCH_SECONDS = 15.0
LARGE = b"x" * (SMALL_CONFIGURATION_BYTES + 1)


class EarlyResponseTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_watch_that_ended_early_confirms_nothing_since_it_was_sent(
        self,
    ) -> None:
        """Guards against a revoked key that works on after a pause of the process.

        The store ends the watch at once; a process that was suspended reads it later.
        """
        now = 100.0
        loader = mock.Mock(revision=5)
        confirmed = asyncio.Event()
        loader.confirm.side_effect = lambda _: confirmed.set()

        async def watch(*_: object) -> Ok[ChangeBatch]:
            nonlocal now
            if loader.confirm.called:
                await asyncio.sleep(3600)
            now += WATCH_SECONDS / 2
            return Ok(ChangeBatch(5, ()))

        store = mock.AsyncMock(watch_values=watch)
        store.list.return_value = Ok(Listing(5, (StoredObject("c", 5, LARGE),)))
        follower = ConfigurationFollower(
            store,
            mock.Mock(configuration_key="c"),
            loader,
            mock.Mock(),
            random.Random(1),
            WATCH_SECONDS,
        )
        module = "bamboopier_proxy.configuration_follower.read_clock"
        with mock.patch(module, lambda: now):
            task = asyncio.create_task(follower.run())
            async with asyncio.timeout(5):
                await confirmed.wait()
            task.cancel()
        self.assertLessEqual(loader.confirm.call_args.args[0], 100.0)


class LargeConfigurationTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.arrive = asyncio.Event()
        self.deliver = asyncio.Event()
        self.checks_cancelled = 0
        self.loader = mock.Mock(revision=5)
        self.loader.load.return_value = True
        found = StoredObject("c", 5, LARGE)
        store = mock.AsyncMock(watch_values=self.watch)
        store.list.return_value = Ok(Listing(5, (found,)))
        self.follower = ConfigurationFollower(
            store,
            mock.Mock(configuration_key="c"),
            self.loader,
            mock.Mock(),
            random.Random(1),
            WATCH_SECONDS,
        )
        task = asyncio.create_task(self.follower.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.01)

    async def watch(
        self,
        prefix: str,
        after: int,
        seconds: float,
        on_response: Callable[[], None] | None = None,
    ) -> Ok[ChangeBatch]:
        if seconds < WATCH_SECONDS:
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                self.checks_cancelled += 1
                raise
        await self.arrive.wait()
        assert on_response is not None
        on_response()
        await self.deliver.wait()
        self.arrive.clear()
        return Ok(ChangeBatch(6, (ChangedObject("c", 6, LARGE),)))

    async def test_a_check_ends_when_the_watch_begins_to_deliver(self) -> None:
        # Guards against two copies of a megabyte at once on a weak link.
        check = asyncio.create_task(self.follower.check())
        await asyncio.sleep(0.01)
        self.arrive.set()
        await asyncio.wait_for(check, 1.0)
        self.assertEqual(self.checks_cancelled, 1)

    async def test_no_check_is_sent_while_the_watch_delivers(self) -> None:
        self.arrive.set()
        await asyncio.sleep(0.01)
        await asyncio.wait_for(self.follower.check(), 1.0)
        self.assertEqual(self.checks_cancelled, 0)
        self.deliver.set()
        await asyncio.sleep(0.01)
        self.assertEqual(self.loader.load.call_count, 2)


if __name__ == "__main__":
    unittest.main()
