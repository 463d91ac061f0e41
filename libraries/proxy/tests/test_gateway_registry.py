"""Tests of how often the list of gateways is read, and of what follows from it."""

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
        store.list_stale = store.list
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

    async def test_gateways_select_alike_whom_to_tell(self) -> None:
        # Guards against a stream that is told to some gateways and asked of others, and
        # against one that is told to a gateway that is gone.
        entries = {f"g-{n}": GatewayEntry(f"10.0.0.{n}", 7000, 1) for n in range(12)}
        objects = tuple(
            StoredObject(f"g/{name}", 1, msgspec.json.encode(entry))
            for name, entry in entries.items()
        )
        store = mock.AsyncMock()
        store.list.return_value = Ok(Listing(1, objects))
        store.list_stale = store.list
        store.write.return_value = Ok(1)
        registries = []
        for name in ("g-0", "g-1"):
            registry = GatewayRegistry(
                store, "g/", random.Random(1), mock.Mock(), PauseTracker(0.0)
            )
            await registry.register(name, entries[name])
            await registry.read()
            registries.append(registry)
        teller, asker = registries
        for number in range(50):
            key = b"stream-%d" % number
            told = teller.select_peers(key, 3)
            self.assertEqual(len(set(told)), 3)
            # The teller and the asker themselves are not among their peers.
            common = set(told) & set(asker.select_peers(key, 3))
            self.assertGreaterEqual(len(common), 1)
            gone = next(name for name, e in entries.items() if e.endpoint == told[0])
            with mock.patch.dict(teller._peers):
                del teller._peers[gone]
                self.assertEqual(teller.select_peers(key, 3)[:2], told[1:])


if __name__ == "__main__":
    unittest.main()
