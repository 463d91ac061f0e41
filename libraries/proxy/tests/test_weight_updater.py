"""Tests of an agent that brings its target to the published weights."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from bamboopier_proxy.settings import Endpoint
from bamboopier_proxy.weight_updater import WeightUpdater

SECONDS, TICK_SECONDS = 4.0, 0.2


class DirectoryTests(unittest.IsolatedAsyncioTestCase):
    async def count_reads(self, *, draining: bool) -> int:
        """Return how often the list of targets is read in ``SECONDS``."""
        directory = mock.Mock(read=mock.AsyncMock(return_value=True))
        updater = WeightUpdater(
            "a-1",
            Endpoint("10.0.0.1", 80),
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            directory,
            random.Random(1),
        )
        updater._drain = mock.Mock() if draining else None
        for tick in range(int(SECONDS / TICK_SECONDS)):
            now = 100.0 + tick * TICK_SECONDS
            with mock.patch("bamboopier_proxy.weight_updater.read_clock") as clock:
                clock.return_value = now
                await updater._refresh_directory()
        return directory.read.await_count

    async def test_a_drain_reads_the_list_once(self) -> None:
        """Guards against a list of all targets twice a second from each agent."""
        self.assertEqual(await self.count_reads(draining=True), 1)

    async def test_the_order_of_the_waves_is_read_again(self) -> None:
        self.assertIn(await self.count_reads(draining=False), (2, 3))


if __name__ == "__main__":
    unittest.main()
