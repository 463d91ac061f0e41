"""Tests of which gateways poll the part stores, and which poll another gateway."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter
from typing import TYPE_CHECKING
from unittest import mock

from result import Err, Ok, Result

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.part_store_index import (
    SAVE_HOLD_OFF_SECONDS,
    PartStoreIndex,
    PartUpdate,
)
from bamboopier_decisions.forwarding.pause_tracker import PauseTracker
from bamboopier_decisions.forwarding.relay_tree import MIN_CHILDREN
from bamboopier_objects.http_client import HttpClient
from bamboopier_proxy.gateway_registry import GatewayRegistry
from bamboopier_proxy.part_follower import (
    DIRECT_GATEWAYS,
    PartFollower,
    PartReply,
)
from bamboopier_proxy.part_relay import PartRelay

if TYPE_CHECKING:
    from bamboopier_proxy.settings import Endpoint

ADDRESS = "10.0.0.9:80"


def make_roster(generator: random.Random) -> GatewayRegistry:
    """Return a gateway registry that reads no store."""
    store = mock.AsyncMock()
    return GatewayRegistry(
        store, "", generator, lambda *_: None, PauseTracker(read_clock())
    )


class CountedStores:
    """Counts requests to the stores."""

    def __init__(self) -> None:
        self.requests = 0

    async def read_updates(
        self, address: str, position: int, seconds: float
    ) -> Result[PartReply, str]:
        self.requests += 1
        await asyncio.sleep(0.01)
        return Ok(PartReply(PartUpdate(1, 1, ()), 0))


class CountedRelay(PartRelay):
    """Records requests to other gateways."""

    def __init__(self, index: PartStoreIndex) -> None:
        super().__init__(index, HttpClient(""))
        self.requested: set[str] = set()

    async def request(self, gateway: Endpoint) -> Result[int, str]:
        self.requested.add(str(gateway))
        return Err("not there")


class SteadyRelay(CountedRelay):
    """Gets updates from each gateway that it requests them from."""

    async def request(self, gateway: Endpoint) -> Result[int, str]:
        self.requested.add(str(gateway))
        return Ok(1)


class RestartedStore:
    """Responds as a store that has just restarted, even if the request is late."""

    def __init__(self, clock: list[float]) -> None:
        self._clock = clock
        self._delays = [0.0, 4.0]
        self.requested = 0

    async def read_updates(
        self, address: str, position: int, seconds: float
    ) -> Result[PartReply, str]:
        await asyncio.sleep(0)
        self._clock[0] += self._delays.pop(0) if self._delays else 0.0
        self.requested += 1
        epoch = min(self.requested, 2)
        return Ok(PartReply(PartUpdate(epoch, int(self._clock[0] * 1000), ()), 0))


class SettleTests(unittest.IsolatedAsyncioTestCase):
    async def test_an_instance_is_not_known_longer_than_it_was_observed(self) -> None:
        # A gateway is suspended for four seconds between reading the clock for a
        # request and sending it. A store restarts just before the gateway resumes. The
        # gateway assumes that the instance is four seconds old and lets engines write
        # to it at once, while others may still fetch parts stored before: a response to
        # a caller could be computed from half a part.
        clock = [100.0]
        index = PartStoreIndex()
        index.set_stores({ADDRESS: 100_000})
        generator = random.Random(1)
        registry = make_roster(generator)
        registry._own = "g-0"
        module = "bamboopier_proxy.part_follower"
        with (
            mock.patch(f"{module}.read_clock", side_effect=lambda: clock[0]),
            mock.patch(f"{module}.POLL_PAUSE_SECONDS", 0.01),
            mock.patch(f"{module}.log"),
        ):
            stores = RestartedStore(clock)
            follower = PartFollower(
                stores, index, CountedRelay(index), registry, generator
            )
            task = asyncio.create_task(follower.run())
            async with asyncio.timeout(5):
                while stores.requested < 4:  # noqa: ASYNC110
                    await asyncio.sleep(0.005)
            task.cancel()
        store = index.find(ADDRESS)
        assert store is not None
        self.assertEqual(store.epoch, 2)
        # The instance was first observed at 104.0.
        self.assertFalse(store.can_save(104.0 + SAVE_HOLD_OFF_SECONDS / 2, 1000))


class FollowerTests(unittest.IsolatedAsyncioTestCase):
    async def follow(self, gateways: int, own: str) -> tuple[int, int]:
        """Return the number of requests to stores and the number of polled gateways."""
        index = PartStoreIndex()
        index.set_stores({ADDRESS: 1000})
        generator = random.Random(1)
        registry = make_roster(generator)
        registry._own = own
        for number in range(gateways):
            registry.record_hint(f"g-{number}", f"10.0.1.{number}", 7000)
        stores, relay = CountedStores(), CountedRelay(index)
        task = asyncio.create_task(
            PartFollower(stores, index, relay, registry, generator).run()
        )
        await asyncio.sleep(0.2)
        task.cancel()
        return stores.requests, len(relay.requested)

    async def test_few_gateways_poll_the_stores_directly(self) -> None:
        requests, requested = await self.follow(DIRECT_GATEWAYS, "g-0")
        self.assertGreater(requests, 0)
        self.assertEqual(requested, 0)

    async def test_eight_of_many_gateways_poll_the_stores(self) -> None:
        # Each of 21 gateways decides on its own. Requests of more than eight would be
        # rejected by the stores; with none, no gateway would get updates.
        direct = 0
        for number in range(21):
            requests, requested = await self.follow(21, f"g-{number}")
            self.assertEqual(requests > 0, requested == 0)
            direct += requests > 0
        self.assertEqual(direct, DIRECT_GATEWAYS)

    async def test_no_gateway_is_polled_by_many_others(self) -> None:
        """Guards against eight gateways that answer all the others."""
        polled: Counter[str] = Counter()
        for number in range(68):
            index = PartStoreIndex()
            relay = SteadyRelay(index)
            follower = self.make_follower(68, f"g-{number}", relay, index)
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(0.01)
            task.cancel()
            polled.update(relay.requested)
        self.assertEqual(polled.total(), 68 - DIRECT_GATEWAYS)
        self.assertLessEqual(max(polled.values()), MIN_CHILDREN)

    async def test_another_gateway_is_polled_while_the_preferred_fails(self) -> None:
        """Guards against a gateway without updates as long as its parent is silent."""
        index = PartStoreIndex()
        relay = CountedRelay(index)
        follower = self.make_follower(68, "g-40", relay, index)
        with mock.patch("bamboopier_proxy.part_follower.RELAY_POLL_SECONDS", 0.001):
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(0.1)
            task.cancel()
        self.assertGreater(len(relay.requested), 2)

    def make_follower(
        self, gateways: int, own: str, relay: PartRelay, index: PartStoreIndex
    ) -> PartFollower:
        generator = random.Random(1)
        registry = make_roster(generator)
        registry._own = own
        for number in range(gateways):
            registry.record_hint(f"g-{number}", f"10.0.1.{number}", 7000)
        return PartFollower(CountedStores(), index, relay, registry, generator)


if __name__ == "__main__":
    unittest.main()
