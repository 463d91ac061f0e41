"""Who asks the stores of parts, and who asks another gateway."""

from __future__ import annotations

import asyncio
import random
import unittest
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
from bamboopier_objects.http_caller import HttpCaller
from bamboopier_proxy.part_follower import (
    DIRECT_GATEWAYS,
    PartAnswer,
    PartFollower,
)
from bamboopier_proxy.part_relay import PartRelay
from bamboopier_proxy.roster import Roster

if TYPE_CHECKING:
    from bamboopier_proxy.settings import Endpoint

ADDRESS = "10.0.0.9:80"


def make_roster(generator: random.Random) -> Roster:
    """Return a list of gateways that reads no store."""
    store = mock.AsyncMock()
    return Roster(store, "", generator, lambda *_: None, PauseTracker(read_clock()))


class CountedStores:
    """Counts questions to the stores."""

    def __init__(self) -> None:
        self.questions = 0

    async def read_news(
        self, address: str, position: int, seconds: float
    ) -> Result[PartAnswer, str]:
        self.questions += 1
        await asyncio.sleep(0.01)
        return Ok(PartAnswer(PartUpdate(1, 1, ()), 0))


class CountedRelay(PartRelay):
    """Counts questions to other gateways."""

    def __init__(self, kept: PartStoreIndex) -> None:
        super().__init__(kept, HttpCaller(""))
        self.asked: set[str] = set()

    async def ask(self, gateway: Endpoint) -> Result[int, str]:
        self.asked.add(str(gateway))
        return Err("not there")


class RestartedStore:
    """Answers at once as a store that began anew, however late it is asked."""

    def __init__(self, clock: list[float]) -> None:
        self._clock = clock
        self._delays = [0.0, 4.0]
        self.asked = 0

    async def read_news(
        self, address: str, position: int, seconds: float
    ) -> Result[PartAnswer, str]:
        await asyncio.sleep(0)
        self._clock[0] += self._delays.pop(0) if self._delays else 0.0
        self.asked += 1
        epoch = min(self.asked, 2)
        return Ok(PartAnswer(PartUpdate(epoch, int(self._clock[0] * 1000), ()), 0))


class SettleTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_start_is_not_known_longer_than_it_was_seen(self) -> None:
        # A gateway is suspended for four seconds between taking the time of a question
        # and sending it. A store began anew just before it wakes. The gateway takes
        # that start for four seconds old and tells engines to write there at once,
        # while others may still fetch what lay there before: a caller's answer could
        # be made from half a part.
        clock = [100.0]
        kept = PartStoreIndex()
        kept.set_stores({ADDRESS: 100_000})
        generator = random.Random(1)
        roster = make_roster(generator)
        roster._own = "g-0"
        module = "bamboopier_proxy.part_follower"
        with (
            mock.patch(f"{module}.read_clock", side_effect=lambda: clock[0]),
            mock.patch(f"{module}.PAUSE_SECONDS", 0.01),
            mock.patch(f"{module}.log"),
        ):
            stores = RestartedStore(clock)
            follower = PartFollower(stores, kept, CountedRelay(kept), roster, generator)
            task = asyncio.create_task(follower.run())
            async with asyncio.timeout(5):
                while stores.asked < 4:  # noqa: ASYNC110
                    await asyncio.sleep(0.005)
            task.cancel()
        store = kept.find(ADDRESS)
        assert store is not None
        self.assertEqual(store.epoch, 2)
        # The start was seen at 104.0 for the first time.
        self.assertFalse(store.can_save(104.0 + SAVE_HOLD_OFF_SECONDS / 2, 1000))


class FollowerTests(unittest.IsolatedAsyncioTestCase):
    async def follow(self, gateways: int, own: str) -> tuple[int, int]:
        """Return the questions to stores and the gateways asked in a moment."""
        kept = PartStoreIndex()
        kept.set_stores({ADDRESS: 1000})
        generator = random.Random(1)
        roster = make_roster(generator)
        roster._own = own
        for number in range(gateways):
            roster.note_heard(f"g-{number}", f"10.0.1.{number}", 7000)
        stores, relay = CountedStores(), CountedRelay(kept)
        task = asyncio.create_task(
            PartFollower(stores, kept, relay, roster, generator).run()
        )
        await asyncio.sleep(0.2)
        task.cancel()
        return stores.questions, len(relay.asked)

    async def test_few_gateways_ask_the_stores_themselves(self) -> None:
        questions, asked = await self.follow(DIRECT_GATEWAYS, "g-0")
        self.assertGreater(questions, 0)
        self.assertEqual(asked, 0)

    async def test_of_many_gateways_eight_ask_the_stores(self) -> None:
        # Each of 21 gateways decides for itself. More than eight would be turned away
        # by the stores, fewer than one would leave all without news.
        direct = 0
        for number in range(21):
            questions, asked = await self.follow(21, f"g-{number}")
            self.assertEqual(questions > 0, asked == 0)
            direct += questions > 0
        self.assertEqual(direct, DIRECT_GATEWAYS)


if __name__ == "__main__":
    unittest.main()
