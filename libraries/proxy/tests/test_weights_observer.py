"""Tests of the publication time that a process assumes for new weights."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from result import Err, Ok

from bamboopier_decisions.forwarding.pause_tracker import TICK_SECONDS, PauseTracker
from bamboopier_decisions.forwarding.weight_versions import WeightVersions
from bamboopier_objects.errors import PlatformUnavailableError
from bamboopier_objects.object_follower import ObjectFollower
from bamboopier_objects.objects import (
    ChangeBatch,
    ChangedObject,
    Listing,
    StoredObject,
)
from bamboopier_proxy.observers import WeightsObserver
from bamboopier_proxy.store_schema import PublishedWeights

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from bamboopier_objects.errors import PlatformError

    Answer = Result[ChangeBatch, PlatformError]

NEVER = float("-inf")


class WeightsObserverTests(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        module = "bamboopier_proxy.observers"
        self.enterContext(
            mock.patch(f"{module}.read_clock", side_effect=lambda: self.now)
        )
        self.log = self.enterContext(mock.patch(f"{module}.log"))
        schema = mock.Mock(weights_prefix="v/")
        schema.decode_weights.side_effect = lambda _, value: Ok(
            PublishedWeights("m", int(value))
        )
        self.pauses = PauseTracker(self.now)
        self.weights = WeightVersions(12.0)
        self.changed = mock.Mock()
        self.observer = WeightsObserver(schema, self.weights, self.pauses, self.changed)

    def send_by_watch(self, version: int) -> None:
        """Deliver a version as a watch does."""
        self.observer.apply_change(ChangedObject("v/m", 9, str(version).encode()))

    def send_by_list(self, version: int, known_until: float) -> None:
        """Deliver a version as a list does."""
        found = StoredObject("v/m", 9, str(version).encode())
        self.observer.apply_listing(Listing(9, (found,)), 0.0, known_until)

    def test_a_version_received_by_a_watch_was_published_now(self) -> None:
        self.send_by_watch(2)
        self.assertEqual(self.weights.find_published_at("m"), 100.0)
        self.changed.assert_called_once_with(PublishedWeights("m", 2), 100.0)

    def test_a_version_received_after_a_pause_may_be_as_old_as_it(self) -> None:
        # The process is paused for 3.3 s. The response of the watch is the first thing
        # it reads afterwards, and does not say when the version was published.
        self.now = 103.3
        self.send_by_watch(2)
        self.assertEqual(self.weights.find_published_at("m"), 100.0)
        self.assertEqual(self.log.info.call_args.kwargs["age_seconds"], 3.3)

    def test_a_list_after_a_silent_watch_dates_from_its_start(self) -> None:
        self.send_by_list(1, NEVER)
        self.send_by_list(2, 98.5)
        self.assertEqual(self.weights.find_published_at("m"), 98.5)
        self.changed.assert_called_once_with(PublishedWeights("m", 2), 98.5)

    def test_the_first_list_gives_no_publication_time(self) -> None:
        self.send_by_list(4, NEVER)
        self.assertEqual(self.weights.find_oldest_allowed(self.now, "m"), 4)
        self.changed.assert_not_called()
        self.assertIsNone(self.log.info.call_args.kwargs["age_seconds"])

    def test_a_version_listed_again_retains_its_time(self) -> None:
        self.send_by_watch(2)
        self.now = 108.0
        self.send_by_list(2, 106.0)
        self.assertEqual(self.weights.find_published_at("m"), 100.0)


class FollowedWeightsTests(unittest.IsolatedAsyncioTestCase):
    """Versions delivered by a follower, as in a process."""

    def setUp(self) -> None:
        self.now = 100.0
        module = "bamboopier_proxy.observers"
        self.enterContext(
            mock.patch(f"{module}.read_clock", side_effect=lambda: self.now)
        )
        self.enterContext(mock.patch(f"{module}.log"))
        self.enterContext(mock.patch("bamboopier_objects.object_follower.log"))
        schema = mock.Mock(weights_prefix="v/")
        schema.decode_weights.side_effect = lambda _, value: Ok(
            PublishedWeights("m", int(value))
        )
        self.pauses = PauseTracker(self.now)
        self.weights = WeightVersions(12.0)
        self.observer = WeightsObserver(schema, self.weights, self.pauses, mock.Mock())

    def run_for(self, seconds: float) -> None:
        """Run the process for ``seconds``."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + TICK_SECONDS)
            self.pauses.record_tick(self.now)

    def pause_for(self, seconds: float) -> None:
        """Pause the process for ``seconds``."""
        self.now += seconds
        self.pauses.record_tick(self.now)

    async def follow(self, *watches: Callable[[], Answer]) -> None:
        """Answer the watches that follow a list of version 1."""
        left = list(watches)
        listing = Listing(7, (StoredObject("v/m", 7, b"1"),))
        store = mock.AsyncMock()
        store.list.return_value = Ok(listing)

        async def watch(*_: object) -> Answer:
            if not left:
                await asyncio.sleep(3600)
            return left.pop(0)()

        store.watch_values.side_effect = watch
        follower = ObjectFollower(
            store, "v/", self.observer, 2.0, random.Random(1), lambda: self.now
        )
        task = asyncio.create_task(follower.run())
        async with asyncio.timeout(10):
            while self.weights.find_newest("m") < 2:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        task.cancel()

    def fail_after_a_pause(self) -> Answer:
        self.pause_for(6.0)
        return Err(PlatformUnavailableError("no answer"))

    def end_empty(self) -> Answer:
        self.run_for(2.0)
        return Ok(ChangeBatch(7, ()))

    def publish_after(self, seconds: float) -> Answer:
        self.run_for(seconds)
        return Ok(ChangeBatch(9, (ChangedObject("v/m", 9, b"2"),)))

    async def test_weights_published_after_a_pause_allow_older_ones(
        self,
    ) -> None:
        # A gateway is paused for six seconds. It then lists the weights and watches
        # them, and two watches end without changes, as they should. Weights are
        # published 4.2 s after the pause, and received 0.2 s after a watch was sent. If
        # they were assumed to be as old as the pause, 10.2 s, older ones would expire
        # at once: callers get 503 from this gateway, although 0.2 s before it knew that
        # nothing was published.
        await self.follow(
            self.fail_after_a_pause,
            self.end_empty,
            self.end_empty,
            lambda: self.publish_after(0.2),
        )
        self.assertEqual(self.weights.find_oldest_allowed(self.now, "m"), 1)

    async def test_a_late_watch_response_may_be_as_old_as_the_watch(self) -> None:
        # Weights are published when a gateway sends a watch of two seconds. The
        # response is delayed until 2.75 s later, just before the watch would be
        # abandoned. If the version was dated from when it is read, callers would be
        # served with older weights up to 12.15 s after the publication, and even later
        # by the queueing time at the engine: 12 are allowed. An abandoned watch is
        # dated correctly, this one was not.
        published_at = self.now
        await self.follow(lambda: self.publish_after(2.75))
        self.assertEqual(self.weights.find_oldest_allowed(published_at + 12.1, "m"), 2)


if __name__ == "__main__":
    unittest.main()
