"""Which gaps are taken for an outage of the store."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from result import Ok

from bamboopier_decisions.forwarding.fleet import Fleet
from bamboopier_decisions.forwarding.model import TargetEntry
from bamboopier_objects.objects import Listing, StoredObject
from bamboopier_proxy.configuration_poll import ConfigurationPoll
from bamboopier_proxy.observers import TargetObserver
from bamboopier_proxy.store_health import StoreHealth


class StoreHealthTests(unittest.IsolatedAsyncioTestCase):
    async def test_one_silent_watch_is_no_outage_of_the_store(self) -> None:
        # The connection of a gateway's watch of targets goes silent for three and a
        # half seconds; its other calls to the store are answered all the while, so no
        # entry can have lapsed. A target that left meanwhile is missing in the list
        # that follows, and is sent callers' requests for 2.2 s more, as if the store
        # had been away.
        times = iter((100.0, 100.0, 101.0, 101.0, 102.0, 102.0, 103.5, 103.5))
        health, fleet = StoreHealth(), Fleet()
        vocabulary = mock.Mock(targets_prefix="t/")
        store = mock.AsyncMock()
        store.read.return_value = Ok(StoredObject("c", 5, b""))
        poll = ConfigurationPoll(
            store, vocabulary, mock.Mock(), health, random.Random(1)
        )
        observer = TargetObserver(vocabulary, fleet, health, mock.Mock())
        entry = TargetEntry("i-1", 1, "chat", "10.0.0.1", 80, "z1", 4, False, 0.0)
        fleet.put(100.0, entry)
        with (
            mock.patch("bamboopier_proxy.observers.log"),
            mock.patch("bamboopier_proxy.observers.read_clock", return_value=103.5),
            mock.patch(
                "bamboopier_proxy.configuration_poll.read_clock",
                side_effect=lambda: next(times),
            ),
        ):
            for _ in range(4):
                self.assertTrue(await poll.read())
            observer.take_listing(Listing(9, ()), 3.5, 100.0)
        self.assertEqual(fleet.list_service("chat", 103.6), [])


if __name__ == "__main__":
    unittest.main()
