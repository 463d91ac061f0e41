"""Slots that waiting requests get."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, cast

from bamboopier_proxy.request_queues import RequestQueues

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.fleet import InFlightRequest

SLOT = cast("InFlightRequest", object())


class RequestQueuesTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.queues = RequestQueues()
        self.acquired: list[InFlightRequest] = []
        self.released: list[InFlightRequest] = []

    def acquire(self) -> InFlightRequest:
        self.acquired.append(SLOT)
        return SLOT

    def wait(self, seconds: float) -> asyncio.Task[InFlightRequest | None]:
        waiting = self.queues.wait(
            "desk", 1, seconds, self.acquire, self.released.append
        )
        return asyncio.create_task(waiting)

    async def test_a_waiting_request_gets_a_free_slot(self) -> None:
        waiting = self.wait(5.0)
        await asyncio.sleep(0)
        self.queues.wake("desk")
        self.assertIs(await waiting, SLOT)
        self.assertEqual((self.released, self.queues.count("desk")), ([], 0))

    async def test_a_slot_is_released_when_its_caller_disconnects(self) -> None:
        # Guards against a leaked slot: a slot is acquired for a waiting request, whose
        # caller disconnects before its task runs again. The target would look busier
        # for as long as the gateway runs.
        waiting = self.wait(5.0)
        await asyncio.sleep(0)
        self.queues.wake("desk")
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        self.assertEqual((self.acquired, self.released), ([SLOT], [SLOT]))

    async def test_a_request_tries_once_more_when_its_wait_ends(self) -> None:
        # Guards against a request that is refused though a target has had room since
        # the last search.
        self.assertIs(await self.wait(0.01), SLOT)
        self.assertEqual(self.queues.count("desk"), 0)

    async def test_no_slot_is_acquired_for_a_disconnected_caller(self) -> None:
        waiting = self.wait(5.0)
        await asyncio.sleep(0)
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        self.queues.wake("desk")
        self.assertEqual((self.acquired, self.released), ([], []))


if __name__ == "__main__":
    unittest.main()
