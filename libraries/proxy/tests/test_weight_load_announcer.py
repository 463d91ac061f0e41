"""Tests of the hints to gateways about a target that loads weights."""

from __future__ import annotations

import unittest
from unittest import mock

import msgspec
from result import Err, Ok

from bamboopier_objects.errors import PlatformUnavailableError
from bamboopier_objects.objects import Listing, StoredObject
from bamboopier_proxy.gateway_registry import GatewayEntry
from bamboopier_proxy.weight_load_announcer import (
    GATEWAYS_SECONDS,
    HINT_SECONDS,
    WeightLoadAnnouncer,
)


class AnnouncerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.now = 100.0
        patch = mock.patch(
            "bamboopier_proxy.weight_load_announcer.read_clock",
            side_effect=lambda: self.now,
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.store = mock.AsyncMock()
        self.socket = mock.Mock()
        self.announcer = WeightLoadAnnouncer(self.store, "gateways/", self.socket)

    def list_gateways(self, *hosts: str) -> None:
        """Store the entries of these gateways, and an invalid one."""
        values = {h: msgspec.json.encode(GatewayEntry(h, 7000, 1)) for h in hosts}
        values["broken"] = b"{"
        objects = [StoredObject(f"gateways/{n}", 1, v) for n, v in values.items()]
        self.store.list_stale.return_value = Ok(Listing(1, tuple(objects)))

    def list_receivers(self) -> list[str]:
        return [call.args[1].host for call in self.socket.send.call_args_list]

    async def test_a_hint_is_repeated_before_it_expires(self) -> None:
        # A single lost datagram must not make a gateway send requests for long
        # responses.
        self.list_gateways("10.0.0.1")
        with mock.patch("bamboopier_proxy.gateway_registry.log"):
            await self.announcer.refresh()
        for _ in range(30):
            self.announcer.announce_drain("i-1", "m")
            self.now += HINT_SECONDS / 30
        self.assertGreaterEqual(len(self.list_receivers()), 3)
        self.assertLess(len(self.list_receivers()), 6)

    async def test_a_load_is_announced_at_once_after_a_drain(self) -> None:
        self.list_gateways("10.0.0.1")
        with mock.patch("bamboopier_proxy.gateway_registry.log"):
            await self.announcer.refresh()
        self.announcer.announce_drain("i-1", "m")
        self.announcer.reset()
        self.announcer.announce_load("i-1", "m")
        hints = [call.args[0] for call in self.socket.send.call_args_list]
        self.assertEqual([hint.busy_ms > 0 for hint in hints], [False, True])

    async def test_the_list_is_reread_and_retained_during_a_store_outage(self) -> None:
        # A gateway is replaced by one at another address; then the store is
        # unavailable.
        self.list_gateways("10.0.0.1")
        with mock.patch("bamboopier_proxy.gateway_registry.log"):
            await self.announcer.refresh()
            self.list_gateways("10.0.0.2")
            self.now += GATEWAYS_SECONDS
            await self.announcer.refresh()
        self.store.list_stale.return_value = Err(PlatformUnavailableError("away"))
        self.now += GATEWAYS_SECONDS
        await self.announcer.refresh()
        self.announcer.announce_end("i-1", "m", 2)
        self.assertEqual(self.list_receivers(), ["10.0.0.2"])


if __name__ == "__main__":
    unittest.main()
