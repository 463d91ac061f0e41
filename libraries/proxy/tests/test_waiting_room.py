"""Places that waiting requests are given."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, cast

from bamboopier_proxy.waiting_room import WaitingRoom

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.fleet import InFlightRequest

PLACE = cast("InFlightRequest", object())


class WaitingRoomTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.room = WaitingRoom()
        self.given: list[InFlightRequest] = []
        self.taken_back: list[InFlightRequest] = []

    def give(self) -> InFlightRequest:
        self.given.append(PLACE)
        return PLACE

    def wait(self, seconds: float) -> asyncio.Task[InFlightRequest | None]:
        waiting = self.room.wait("desk", 1, seconds, self.give, self.taken_back.append)
        return asyncio.create_task(waiting)

    async def test_a_place_goes_to_the_request_that_waits(self) -> None:
        waiting = self.wait(5.0)
        await asyncio.sleep(0)
        self.room.wake("desk")
        self.assertIs(await waiting, PLACE)
        self.assertEqual((self.taken_back, self.room.count("desk")), ([], 0))

    async def test_a_caller_that_leaves_as_it_gets_a_place_leaves_none_taken(
        self,
    ) -> None:
        # A place falls free and is counted for a waiting request. Before its task runs
        # again its caller closes the connection. Nobody would ever end that request,
        # and its target would look busier for as long as the gateway runs.
        waiting = self.wait(5.0)
        await asyncio.sleep(0)
        self.room.wake("desk")
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        self.assertEqual((self.given, self.taken_back), ([PLACE], [PLACE]))

    async def test_nothing_is_given_to_one_that_has_left(self) -> None:
        waiting = self.wait(5.0)
        await asyncio.sleep(0)
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        self.room.wake("desk")
        self.assertEqual((self.given, self.taken_back), ([], []))


if __name__ == "__main__":
    unittest.main()
