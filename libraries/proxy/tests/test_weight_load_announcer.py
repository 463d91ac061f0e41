"""What gateways hear of a target that gets new weights."""

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
        """Let these be in the store, and one entry that cannot be read."""
        values = {h: msgspec.json.encode(GatewayEntry(h, 7000, 1)) for h in hosts}
        values["broken"] = b"{"
        objects = [StoredObject(f"gateways/{n}", 1, v) for n, v in values.items()]
        self.store.list.return_value = Ok(Listing(1, tuple(objects)))

    def list_receivers(self) -> list[str]:
        return [call.args[1].host for call in self.socket.send.call_args_list]

    async def test_a_hint_is_repeated_before_it_expires(self) -> None:
        # One datagram in a row may be lost without a gateway sending long answers.
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
        # A gateway is replaced by one at another address; then the store goes away.
        self.list_gateways("10.0.0.1")
        with mock.patch("bamboopier_proxy.gateway_registry.log"):
            await self.announcer.refresh()
            self.list_gateways("10.0.0.2")
            self.now += GATEWAYS_SECONDS
            await self.announcer.refresh()
        self.store.list.return_value = Err(PlatformUnavailableError("away"))
        self.now += GATEWAYS_SECONDS
        await self.announcer.refresh()
        self.announcer.announce_end("i-1", "m", 2)
        self.assertEqual(self.list_receivers(), ["10.0.0.2"])


if __name__ == "__main__":
    unittest.main()
