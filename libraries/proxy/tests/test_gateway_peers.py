"""Tests of the gateway count, and of the load of all gateways on a cold target."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import TYPE_CHECKING
from unittest import mock

import msgspec
from result import Ok

from bamboopier_decisions.forwarding.cold_start_limit import ColdStartLimit
from bamboopier_decisions.forwarding.pause_tracker import TICK_SECONDS, PauseTracker
from bamboopier_decisions.forwarding.shared_retry_budget import RetryBudgetLimits
from bamboopier_decisions.forwarding.specs import ServiceSpec, TargetEntry
from bamboopier_objects.objects import Listing, StoredObject
from bamboopier_proxy.gateway_peers import GatewayPeers
from bamboopier_proxy.gateway_registry import READ_SECONDS, SILENT_SECONDS, GatewayEntry
from bamboopier_proxy.gateway_state import GatewayState
from bamboopier_proxy.settings import Endpoint

if TYPE_CHECKING:
    from bamboopier_proxy.hints import Hint

GATEWAYS = 4
PORT = 7000
PREFIX = "gateways/"
# Limit of a site for a cold target: requests a second, times 1.5, plus 5.
COLD_PER_SECOND = 18.0
MAX_COLD_REQUESTS = COLD_PER_SECOND * 1.5 + 5


class Gateway:
    """One of several gateways on a network that delivers hints, or loses them."""

    def __init__(self, number: int, now: float, store: mock.AsyncMock) -> None:
        self.name = f"g-{number}"
        self.host = f"10.0.0.{number}"
        self.pauses = PauseTracker(now)
        self.ramp = ColdStartLimit()
        settings = mock.Mock(
            vm=self.name,
            host=self.host,
            first_port=PORT,
            version_seconds=9.0,
            first_start=False,
            key_seconds=None,
            retries=RetryBudgetLimits(0.2, 54, 10.0),
        )
        schema = mock.Mock(gateways_prefix=PREFIX)
        self.state = GatewayState(settings, schema, self.pauses)
        self.peers = GatewayPeers(
            settings,
            self.state,
            store,
            schema,
            mock.Mock(),
            lambda: 0.0,
            random.Random(number),
        )
        self.hint_exchange = self.peers.hint_exchange
        self.registry = self.peers._registry

    @property
    def counted(self) -> int:
        """Return the number of gateways by which this one divides shared limits."""
        return self.state.fleet.gateway_count


class GatewayCountTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.now = 1000.0
        self.lost = False
        # How often each datagram arrives.
        self.copies = 1
        for module in ("hint_exchange", "gateway_registry"):
            patch = mock.patch(
                f"bamboopier_proxy.{module}.read_clock", side_effect=lambda: self.now
            )
            patch.start()
            self.addCleanup(patch.stop)
        store = mock.AsyncMock()
        store.write.return_value = Ok(1)
        self.store = store
        self.gateways = [Gateway(n, self.now, store) for n in range(GATEWAYS)]
        entries = {g.name: GatewayEntry(g.host, PORT, 1) for g in self.gateways}
        store.list_stale = store.list
        store.list.return_value = Ok(
            Listing(
                1,
                tuple(
                    StoredObject(PREFIX + name, 1, msgspec.json.encode(entry))
                    for name, entry in entries.items()
                ),
            )
        )
        for gateway in self.gateways:
            self.connect(gateway)
            await gateway.registry.register(gateway.name, entries[gateway.name])
            await gateway.registry.read()
        self.run_all(5.0)

    def connect(self, gateway: Gateway) -> None:
        """Deliver a gateway's datagrams at once, unless they are lost."""

        def send(hint: Hint, to: Endpoint) -> None:
            for other in self.gateways:
                if Endpoint(other.host, PORT) != to or self.lost:
                    continue
                for _ in range(self.copies):
                    other.hint_exchange._receive(hint, (gateway.host, PORT))

        patch = mock.patch.object(
            gateway.hint_exchange._socket, "send", side_effect=send
        )
        patch.start()
        self.addCleanup(patch.stop)

    def run_all(self, seconds: float, running: list[Gateway] | None = None) -> None:
        """Run the ticks of gateways and send their hints."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_SECONDS
            for gateway in self.gateways if running is None else running:
                gateway.pauses.record_tick(self.now)
                gateway.hint_exchange._send_loads()

    def count_all(self) -> list[int]:
        """Return the number of gateways that each counts."""
        return [gateway.counted for gateway in self.gateways]

    def flood_cold_target(self, seconds: float) -> int:
        """Send all permitted requests to a cold target; return their number."""
        sent = 0
        for gateway in self.gateways:
            gateway.ramp.start(self.now, 10.0)
        for step in range(int(seconds * 100)):
            for gateway in self.gateways:
                now = self.now + step * 0.01
                index = gateway.state.fleet.gateway_index
                count = gateway.counted
                if gateway.ramp.may_send(now, COLD_PER_SECOND, count, index):
                    gateway.ramp.record_sent(now)
                    sent += 1
        return sent

    async def test_gateways_resumed_together_share_the_limit_of_a_cold_target(
        self,
    ) -> None:
        # All gateways are suspended for a while and resume together, and their hints
        # take a moment to arrive. Callers wait for a cold engine. Each gateway assumes
        # that the others are gone, since it received no hints, and sends the engine its
        # full limit of a second: the engine crashes, and callers get 502.
        self.now += SILENT_SECONDS + 5
        self.lost = True
        for gateway in self.gateways:
            gateway.hint_exchange._send_loads()
        self.assertLessEqual(self.flood_cold_target(0.25), MAX_COLD_REQUESTS)
        self.assertEqual(self.count_all(), [GATEWAYS] * GATEWAYS)

    async def test_a_pause_recorded_before_the_count_is_no_silence(
        self,
    ) -> None:
        # As above, but the pause is recorded before the gateways are counted.
        self.now += SILENT_SECONDS + 5
        self.lost = True
        for gateway in self.gateways:
            gateway.pauses.record_tick(self.now)
            gateway.hint_exchange._send_loads()
        self.assertEqual(self.count_all(), [GATEWAYS] * GATEWAYS)

    async def test_a_removed_gateway_is_no_longer_counted(self) -> None:
        # A machine is removed. The shares of the others grow once it has been silent
        # for long, even if they are suspended for a moment meanwhile: their running
        # time before and after the pause counts.
        rest = self.gateways[1:]
        self.run_all(SILENT_SECONDS / 2, rest)
        self.now += 3.0
        self.run_all(SILENT_SECONDS / 2 - 1.0, rest)
        self.assertEqual([g.counted for g in rest], [GATEWAYS] * 3)
        self.run_all(2.0, rest)
        self.assertEqual([g.counted for g in rest], [GATEWAYS - 1] * 3)

    async def test_partitioned_gateways_rediscover_each_other(self) -> None:
        # No hint arrives for longer than a silent gateway is counted, so each gateway
        # counts only itself. When the network recovers, none sends hints, since each
        # has no peers. From then on each uses the full limits for cold engines and
        # retries, and ignores the load of the others, until the gateways restart.
        self.lost = True
        self.run_all(SILENT_SECONDS + 5)
        self.assertEqual(self.count_all(), [1] * GATEWAYS)
        self.lost = False
        self.run_all(READ_SECONDS)
        for gateway in self.gateways:
            await gateway.registry.read()
        self.run_all(1.0)
        self.assertEqual(self.count_all(), [GATEWAYS] * GATEWAYS)

    async def test_a_gateway_without_the_list_sends_nothing_to_cold_targets(
        self,
    ) -> None:
        # All gateways lose power, and engines restart cold. The gateways run before
        # they have read the list; one has received a hint of one other gateway. Each
        # would send the engine its full limit, and callers get 502.
        self.gateways = [Gateway(n, self.now, self.store) for n in range(GATEWAYS)]
        for gateway in self.gateways:
            self.connect(gateway)
        self.gateways[0].registry.record_hint("g-1", "10.0.0.1", PORT)
        self.assertEqual(self.flood_cold_target(0.25), 0)

    def count_permitted(self, gateway: Gateway) -> int:
        """Send all that a gateway may send to the cold target; return the number."""
        state = gateway.state.fleet.find("i-1")
        assert state is not None
        count, index = gateway.counted, gateway.state.fleet.gateway_index
        sent = 0
        while state.cold_start.may_send(self.now, COLD_PER_SECOND, count, index):
            state.cold_start.record_sent(self.now)
            sent += 1
        return sent

    async def test_waiting_callers_get_the_idle_shares_of_a_cold_target(self) -> None:
        # Everything restarts, and all callers reach the first gateway that is ready.
        # They are rejected at its share of the cold engine, and the shares of the other
        # gateways lie idle.
        service = ServiceSpec("desk", "/healthz", 10, 3.0, COLD_PER_SECOND, None)
        entry = TargetEntry("i-1", 1, "desk", "10.0.0.9", 80, "z1", 64, False, 3.0)
        for gateway in self.gateways:
            gateway.state.fleet.set_services({"desk": service})
            gateway.state.fleet.put(self.now, entry)
        busy = self.gateways[0]
        own = self.count_permitted(busy)
        queues = busy.state.request_queues
        callers = [
            asyncio.create_task(queues.wait("desk", 1, 5.0, lambda: None, mock.Mock()))
            for _ in range(20)
        ]
        await asyncio.sleep(0)
        busy.hint_exchange._loans.request(self.now)
        borrowed = self.count_permitted(busy)
        others = sum(map(self.count_permitted, self.gateways[1:]))
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        self.assertGreater(borrowed, own)
        self.assertGreater(others, 0)
        self.assertLessEqual(own + borrowed + others, COLD_PER_SECOND)

    async def test_a_grant_that_arrives_twice_counts_once(self) -> None:
        # Guards against a datagram that the network duplicates: the borrower would send
        # a cold target twice what its lender counts.
        self.copies = 2
        await self.test_waiting_callers_get_the_idle_shares_of_a_cold_target()

    async def test_nothing_is_requested_where_nothing_can_be_lent(self) -> None:
        # Guards against requests at every gateway of a large installation that can have
        # no answer: there a gateway has less than one request a second of a target.
        service = ServiceSpec("desk", "/healthz", 10, 3.0, GATEWAYS - 1.0, None)
        entry = TargetEntry("i-1", 1, "desk", "10.0.0.9", 80, "z1", 64, False, 3.0)
        busy = self.gateways[0]
        busy.state.fleet.set_services({"desk": service})
        busy.state.fleet.put(self.now, entry)
        queues = busy.state.request_queues
        caller = asyncio.create_task(
            queues.wait("desk", 1, 5.0, lambda: None, mock.Mock())
        )
        await asyncio.sleep(0)
        busy.hint_exchange._socket.send.reset_mock()
        busy.hint_exchange._loans.request(self.now)
        busy.hint_exchange._socket.send.assert_not_called()
        caller.cancel()
        await asyncio.gather(caller, return_exceptions=True)

    async def test_a_removed_gateway_gets_one_hint_per_read(self) -> None:
        # A machine is removed, and its entry stays. The gateway is not counted again
        # because of the entry, and hints to its address cost almost nothing.
        gone, *rest = self.gateways
        self.run_all(SILENT_SECONDS + 1, rest)
        for gateway in rest:
            await gateway.registry.read()
        sent = mock.Mock()
        with mock.patch.object(gone.hint_exchange, "_receive", sent):
            self.run_all(READ_SECONDS, rest)
        self.assertEqual(sent.call_count, len(rest))
        self.assertEqual([g.counted for g in rest], [GATEWAYS - 1] * 3)


if __name__ == "__main__":
    unittest.main()
