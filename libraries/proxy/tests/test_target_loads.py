"""Tests of gateways that ask the agents beside targets for their load."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.fleet import Fleet
from bamboopier_decisions.forwarding.specs import EngineSpec, ServiceSpec, TargetEntry
from bamboopier_proxy.hints import Hint, LoadQuery, OwnLoadHint, TargetLoadAnswer
from bamboopier_proxy.load_answers import LoadAnswers
from bamboopier_proxy.settings import Endpoint
from bamboopier_proxy.target_loads import MAX_UNANSWERED, TargetLoads

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.target_state import TargetState

PORT = 7000


class Network:
    """Delivers datagrams between gateways and the agents beside targets.

    Those of agents arrive after ``delay`` seconds.
    """

    def __init__(self) -> None:
        self.delay = 0.0
        self.agents: dict[str, LoadAnswers] = {}
        self.gateways: dict[str, TargetLoads] = {}
        self.sent: list[Hint] = []

    def make_agent(self, host: str) -> None:
        """Start an agent that answers at once."""

        def answer(hint: TargetLoadAnswer, to: Endpoint) -> None:
            gateway = self.gateways[to.host]
            if self.delay:
                loop = asyncio.get_running_loop()
                loop.call_later(self.delay, gateway.receive, hint, Endpoint(host, PORT))
            else:
                gateway.receive(hint, Endpoint(host, PORT))

        self.agents[host] = LoadAnswers(answer)

    def make_gateway(self, host: str, fleet: Fleet) -> TargetLoads:
        """Start a gateway that sends from ``host``."""

        def send(hint: Hint, to: Endpoint) -> None:
            self.sent.append(hint)
            if to.host in self.agents:
                self.agents[to.host].receive(hint, (host, PORT))

        peers = mock.Mock(send=send)
        loads = TargetLoads(host, 1, PORT, fleet, peers, mock.Mock(), random.Random(1))
        self.gateways[host] = loads
        return loads


def make_fleet() -> Fleet:
    """Return a fleet with two engines on machines of their own."""
    fleet = Fleet()
    engine = EngineSpec(12, 100_000, ("m",))
    fleet.set_services({"desk": ServiceSpec("desk", "", 100, 0.0, 0.0, engine)})
    for number in (1, 2):
        name, host = f"i-{number}", f"10.0.1.{number}"
        fleet.put(0.0, TargetEntry(name, 1, "desk", host, 80, "z1", 12, False, 0.0))
    return fleet


class TargetLoadsTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.network = Network()
        self.fleets = [make_fleet(), make_fleet()]
        self.loads = [
            self.network.make_gateway(f"10.0.0.{n}", fleet)
            for n, fleet in enumerate(self.fleets)
        ]

    async def silence_agent(self, host: str, state: TargetState) -> None:
        """Lose an agent's answers until the first gateway no longer waits for it."""
        agent = self.network.agents.pop(host)
        while await self.loads[0].refresh([state]):
            pass
        self.network.agents[host] = agent

    async def test_a_gateway_sees_what_another_sent_a_moment_ago(self) -> None:
        # Guards against gateways that each find the same engine idle, until a hint of
        # the others arrives a quarter of a second later.
        self.network.make_agent("10.0.1.1")
        sender, reader = (fleet.find("i-1") for fleet in self.fleets)
        assert sender is not None
        assert reader is not None
        # The first questions find out that an agent answers.
        await self.loads[0].refresh([sender])
        await self.loads[1].refresh([reader])
        in_flight = self.fleets[0].begin(10.0, sender, None)
        self.assertTrue(await self.loads[1].refresh([reader]))
        reader.select_load(0.0)
        self.assertEqual(reader.requests, 1)
        self.fleets[0].end(in_flight)
        await self.loads[1].refresh([reader])
        reader.select_load(0.0)
        self.assertEqual(reader.requests, 0)

    async def test_a_target_without_an_agent_is_not_waited_for_each_time(self) -> None:
        # Guards against requests that each wait for an answer that never comes.
        state = self.fleets[0].find("i-2")
        assert state is not None
        self.assertFalse(await self.loads[0].refresh([state]))
        self.assertEqual(len(self.network.sent), 1)
        self.assertFalse(await self.loads[0].refresh([state]))
        self.assertFalse(self.loads[0].ask([state]))
        self.assertEqual(len(self.network.sent), 1)

    async def test_an_agent_that_is_gone_is_not_waited_for(self) -> None:
        state = self.fleets[0].find("i-1")
        assert state is not None
        self.network.make_agent("10.0.1.1")
        await self.loads[0].refresh([state])
        self.assertTrue(await self.loads[0].refresh([state]))
        self.network.agents.clear()
        for _ in range(MAX_UNANSWERED):
            self.assertTrue(await self.loads[0].refresh([state]))
        self.assertFalse(await self.loads[0].refresh([state]))

    async def test_an_answer_that_comes_late_is_not_used(self) -> None:
        # Guards against a gateway that was suspended with the answer in its socket.
        state = self.fleets[0].find("i-2")
        assert state is not None
        await self.loads[0].refresh([state])
        nonce = next(h.nonce for h in self.network.sent if isinstance(h, LoadQuery))
        await asyncio.sleep(0.02)
        answer = TargetLoadAnswer(nonce, "i-2", 9, 9, 9)
        self.loads[0].receive(answer, Endpoint("10.0.1.2", PORT))
        state.select_load(0.0)
        self.assertEqual(state.requests, 0)

    async def test_loads_stay_known_on_a_full_link(self) -> None:
        """Guards against requests placed without loads while a crowd fills the link."""
        state = self.fleets[0].find("i-1")
        assert state is not None
        self.network.make_agent("10.0.1.1")
        await self.loads[0].refresh([state])
        self.network.delay = 0.03
        for _ in range(5):
            self.loads[0].ask([state])
            await asyncio.sleep(0.05)
        for _ in range(5):
            self.assertTrue(await self.loads[0].refresh([state]))
            self.assertTrue(state.is_load_exact(read_clock()))

    async def test_an_agent_that_is_not_waited_for_still_hears_of_loads(self) -> None:
        """Guards against other gateways that fill what looks idle at its agent."""
        state = self.fleets[0].find("i-1")
        assert state is not None
        self.network.make_agent("10.0.1.1")
        await self.loads[0].refresh([state])
        await self.silence_agent("10.0.1.1", state)
        self.fleets[0].begin(10.0, state, None)
        reported = [h.requests for h in self.network.sent if isinstance(h, OwnLoadHint)]
        self.assertEqual(reported, [1])

    async def test_what_was_measured_last_is_kept_when_answers_are_lost(self) -> None:
        """Guards against engines that look idle once their agents are not heard."""
        self.network.make_agent("10.0.1.1")
        sender, reader = (fleet.find("i-1") for fleet in self.fleets)
        assert sender is not None
        assert reader is not None
        await self.loads[0].refresh([sender])
        for _ in range(3):
            self.fleets[0].begin(10.0, sender, None)
        await self.loads[1].refresh([reader])
        self.network.agents.clear()
        while await self.loads[1].refresh([reader]):
            pass
        measured_at = read_clock()
        for seconds, requests in ((0.4, 3), (2.0, 0)):
            reader.select_load(measured_at + seconds)
            self.assertEqual(reader.requests, requests)

    async def test_a_silent_agent_is_soon_asked_again(self) -> None:
        """Guards against a second without known loads after two lost datagrams."""
        state = self.fleets[0].find("i-1")
        assert state is not None
        self.network.make_agent("10.0.1.1")
        await self.loads[0].refresh([state])
        await self.silence_agent("10.0.1.1", state)
        await asyncio.sleep(0.11)
        self.loads[0].ask([state])
        self.assertTrue(await self.loads[0].refresh([state]))

    async def test_loads_are_reported_when_they_change(self) -> None:
        state = self.fleets[0].find("i-1")
        assert state is not None
        self.network.make_agent("10.0.1.1")
        await self.loads[0].refresh([state])
        in_flight = self.fleets[0].begin(10.0, state, None)
        self.fleets[0].end(in_flight)
        reported = [h.requests for h in self.network.sent if isinstance(h, OwnLoadHint)]
        self.assertEqual(reported, [1, 0])


if __name__ == "__main__":
    unittest.main()
