"""What a gateway follows in the store, and how old it may be."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from unittest import mock

import msgspec
from result import Ok

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.pause_tracker import PauseTracker
from bamboopier_decisions.forwarding.version_history import MAX_WATCHED_AGE_SECONDS
from bamboopier_decisions.forwarding.weight_versions import WeightVersions
from bamboopier_objects.objects import Listing, StoredObject
from bamboopier_proxy.publish_times import PublishedAt, follow_weights
from bamboopier_proxy.store_confirmation import TICK_SECONDS
from bamboopier_proxy.store_followers import TARGETS_AGE_SECONDS, StoreFollowers
from bamboopier_proxy.store_schema import PublishedWeights

NAMED = StoredObject("v/m", 7, b"2")
# Time after which the entry that another gateway wrote should have been read.
SETTLED_SECONDS = 2.0


class StartTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_start_right_after_a_publication_allows_older_weights(self) -> None:
        # A weight version is published, and a gateway starts before any other has
        # written the publication time, which takes up to 0.4 s. It finds the version
        # without a time, assumes the maximum age and never reads again: its callers get
        # 503 until engines have loaded, although the entry exists a moment later.
        state = mock.Mock()
        state.pauses = PauseTracker(read_clock())
        state.weights = WeightVersions(12.0)
        schema = mock.Mock(publish_times_prefix="a/", weights_prefix="v/")
        schema.decode_weights.return_value = Ok(PublishedWeights("m", 2))
        entries: list[StoredObject] = []

        async def read(key: str) -> Ok[StoredObject | None]:
            return Ok(next((e for e in entries if e.key == key), None))

        async def list_below(prefix: str) -> Ok[Listing]:
            found = entries if prefix == "a/" else [NAMED]
            return Ok(Listing(7, tuple(found)))

        async def watch(*_: object) -> None:
            await asyncio.sleep(3600)

        store = mock.Mock(read=read, list=list_below, watch_values=watch)
        followers = StoreFollowers(state, store, schema, random.Random(1), 15.0)
        with (
            mock.patch("bamboopier_proxy.observers.log"),
            mock.patch("bamboopier_proxy.publish_times.log"),
        ):
            follow = follow_weights(followers._publish_times, followers._weights)
            task = asyncio.create_task(follow)
            await asyncio.sleep(0.1)
            value = msgspec.json.encode(PublishedAt(time.time()))
            entries.append(StoredObject("a/m/2", 8, value))
            await asyncio.sleep(SETTLED_SECONDS)
            task.cancel()
        self.assertEqual(state.weights.find_oldest_allowed(read_clock(), "m"), 0)


class ListAgeTests(unittest.TestCase):
    def test_a_list_counts_while_its_watch_works(self) -> None:
        # Guards against streams that are refused since the list is older, with a watch
        # that works, than a stream of unknown origin allows.
        self.assertGreater(MAX_WATCHED_AGE_SECONDS, TARGETS_AGE_SECONDS + TICK_SECONDS)
        self.assertLess(MAX_WATCHED_AGE_SECONDS, 2 * TARGETS_AGE_SECONDS)


if __name__ == "__main__":
    unittest.main()
