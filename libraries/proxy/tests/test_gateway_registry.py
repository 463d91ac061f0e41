"""Tests of how often the list of gateways is read."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

import msgspec
from result import Ok

from bamboopier_decisions.forwarding.pause_tracker import PauseTracker
from bamboopier_objects.objects import Listing, StoredObject
from bamboopier_proxy.gateway_registry import GatewayEntry, GatewayRegistry

GATEWAYS = 340
# A node may use 22 KB a second for control traffic; reads of the list get a tenth of
# it.
MAX_BYTES_PER_SECOND = 2_200
ENTRY_BYTES = 200


class GatewayRegistryTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_long_list_is_read_less_often(self) -> None:
        # Guards against reading the list at a fixed interval regardless of its length:
        # 340 gateways would each use 9 KB a second for it.
        value = msgspec.json.encode(GatewayEntry("10.0.0.1", 7000, 1))
        objects = tuple(StoredObject(f"g/{n}", n, value) for n in range(GATEWAYS))
        store = mock.AsyncMock()
        store.list.return_value = Ok(Listing(1, objects))
        pauses: list[float] = []

        async def sleep(seconds: float) -> None:
            pauses.append(seconds)
            if len(pauses) > 3:
                raise asyncio.CancelledError

        registry = GatewayRegistry(
            store, "g/", random.Random(1), mock.Mock(), PauseTracker(0.0)
        )
        with (
            mock.patch("bamboopier_proxy.gateway_registry.asyncio.sleep", sleep),
            self.assertRaises(asyncio.CancelledError),
        ):
            await registry.run()
        spent = GATEWAYS * ENTRY_BYTES / min(pauses)
        # Pauses are drawn between four fifths of the interval and the full interval.
        self.assertLess(spent * 0.8, MAX_BYTES_PER_SECOND)


if __name__ == "__main__":
    unittest.main()
