"""The time since which a list may contain changes that were not reported."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from result import Err, Ok

from bamboopier_objects.errors import PlatformUnavailableError, WatchGapError
from bamboopier_objects.object_follower import ObjectFollower
from bamboopier_objects.objects import ChangeBatch, Listing

if TYPE_CHECKING:
    from result import Result

    from bamboopier_objects.errors import PlatformError

LISTING = Ok(Listing(7, ()))
NOTHING = Ok(ChangeBatch(7, ()))


class UnreportedChangeTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.observer = mock.Mock()
        self.store = mock.AsyncMock()
        self.store.list.return_value = LISTING

    async def follow(
        self, *responses: tuple[float, Result[ChangeBatch, PlatformError]]
    ) -> list[float]:
        """Respond to watches after the given seconds; return each ``known_until``."""
        left = list(responses)

        async def watch(*_: object) -> Result[ChangeBatch, PlatformError]:
            if not left:
                await asyncio.sleep(3600)
            seconds, response = left.pop(0)
            self.now += seconds
            return response

        self.store.watch_values.side_effect = watch
        follower = ObjectFollower(
            self.store, "k/", self.observer, 2.0, random.Random(1), lambda: self.now
        )
        expected = 1 + sum(isinstance(response, Err) for _, response in responses)
        with mock.patch("bamboopier_objects.object_follower.log"):
            task = asyncio.create_task(follower.run())
            async with asyncio.timeout(10):
                while self.observer.apply_listing.call_count < expected:  # noqa: ASYNC110
                    await asyncio.sleep(0.005)
            task.cancel()
        return [call.args[2] for call in self.observer.apply_listing.call_args_list]

    async def test_the_first_listing_states_no_time(self) -> None:
        self.assertEqual(await self.follow(), [float("-inf")])

    async def test_a_watch_without_response_may_hide_changes_since_it_was_sent(
        self,
    ) -> None:
        # One watch ends as expected after two seconds. The next gets no response for
        # three and a half, although something changed right after it was sent.
        failed = Err(PlatformUnavailableError("no response"))
        reported = await self.follow((2.0, NOTHING), (3.5, failed))
        self.assertEqual(reported[1], 102.0)

    async def test_a_watch_gap_may_hide_changes_since_the_watch_was_sent(
        self,
    ) -> None:
        reported = await self.follow((2.0, NOTHING), (1.0, Err(WatchGapError("gone"))))
        self.assertEqual(reported[1], 102.0)

    async def test_changes_between_two_watches_may_be_hidden(self) -> None:
        # A gateway is paused for four seconds. Its watch ends empty at the store after
        # two, as expected, and a weight version is published after that. The gateway
        # reads the empty response when it resumes; its next watch fails after six
        # seconds. Guards against a follower that then assumes the version in the list
        # to be two seconds younger than it may be: the older one would be used for two
        # seconds too long.
        failed = Err(PlatformUnavailableError("no response"))
        reported = await self.follow((4.0, NOTHING), (6.0, failed))
        self.assertLessEqual(reported[1], 102.0)


if __name__ == "__main__":
    unittest.main()
