"""What a caller is told when the way to an agent fails, on real gRPC.

A cut connection counts as standing until gRPC has read the cut, and a request written
to it fails like one that was on its way. "Not run" may be said only of a request that
no agent can get any more, and then another agent is tried; of one that an agent may
have, only "unknown" is true, and no second agent may get it.
"""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from contextlib import AsyncExitStack
from types import SimpleNamespace
from typing import TYPE_CHECKING
from unittest import mock

from bamboopier_daemon.certificates import Certificates
from bamboopier_decisions.routing.messages import (
    Distance,
    ExecutionStatus,
    FleetChanged,
    TargetView,
)
from bamboopier_decisions.routing.router import Router
from bamboopier_gateway.agent_connections import AgentConnections
from bamboopier_gateway.errors import CallerError, ErrorCode
from bamboopier_gateway.forwarder import Forwarder
from bamboopier_gateway.metrics import GatewayMetrics
from bamboopier_protocol import agent_pb2 as pb

from .builders import BODY, FakeDelivery, make_call, make_response
from .relayed_agents import FakeAgent, Relay, start_relayed_agent

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bamboopier_gateway.call import Call

# Only reached by a test that would hang.
HANG_SECONDS = 10.0
# An order's body, which stands in the bytes of a request as it is.
ORDER = b"van to A46, box 117"
# The caller's patience where an agent says nothing; longer than an agent is asked.
CALLER_TIMEOUT_SECONDS = 2.5


async def do_nothing() -> None:
    """Let the agent answer at once."""


class ForwarderTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.enterContext(mock.patch("bamboopier_gateway.forwarder.log"))
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        await self.stack.enter_async_context(asyncio.timeout(HANG_SECONDS))
        self.act: Callable[[], Awaitable[None]] = do_nothing
        # The first is the nearer one, which is chosen before the other.
        self.agents = [FakeAgent(lambda: self.act(), make_responses), make_agent()]
        self.relays: list[Relay] = []
        self.addresses: dict[str, str] = {}
        for name, agent in zip(("near", "far"), self.agents, strict=True):
            relayed = await self.stack.enter_async_context(start_relayed_agent(agent))
            self.relays.append(relayed[0])
            self.addresses[name] = relayed[1]
        self.certificates = Certificates(None)
        self.connections = await self.stack.enter_async_context(
            AgentConnections(self.certificates)
        )
        for address in self.addresses.values():
            self.assertIsNotNone(await self.connections.connect(address))
        self.forwarder = self.make_forwarder()
        self.delivery = FakeDelivery()

    def make_forwarder(self) -> Forwarder:
        router = Router(random.Random(1))
        views = (
            TargetView("near", "dispatch", Distance.SAME_DATA_CENTRE),
            TargetView("far", "dispatch", Distance.OTHER_REGION),
        )
        router.handle(FleetChanged(time.monotonic(), views))
        fleet = SimpleNamespace(
            find_address=self.addresses.__getitem__,
            reports=SimpleNamespace(record=lambda *_: None),
        )
        follower = SimpleNamespace(directory=SimpleNamespace(generation=1))
        follower.record_announced = lambda _: None
        quarantine = SimpleNamespace(
            find_wait=lambda _: 0.0, record_crash=lambda *_: None
        )
        return Forwarder(
            router,
            fleet,  # type: ignore[arg-type]
            self.connections,
            follower,  # type: ignore[arg-type]
            GatewayMetrics(),
            quarantine,  # type: ignore[arg-type]
        )

    async def forward(self, call: Call) -> None:
        await self.forwarder.forward(call, self.delivery)  # type: ignore[arg-type]

    async def fail_to_forward(self, call: Call) -> CallerError:
        with self.assertRaises(CallerError) as raised:
            await self.forward(call)
        return raised.exception

    async def test_an_undetected_disconnect_loses_no_order(self) -> None:
        # The nearer agent's connection is cut, and gRPC reads that only after it has
        # written to it. The caller was told "unknown" of an order that no agent ever
        # had; it is not sent there, and the other agent serves it.
        self.relays[0].disconnect_at_next_call()
        await self.forward(make_call(body=ORDER))
        self.assertEqual((self.delivery.body, self.delivery.complete), (BODY, True))
        self.assertEqual([len(each.received) for each in self.agents], [0, 1])
        self.assertNotIn(ORDER, self.relays[0].received)

    async def test_disconnects_of_every_agent_are_reported_as_not_run(self) -> None:
        # The same at both agents: nobody can serve the order, and since it was sent
        # to none of them the caller may send it again.
        for relay in self.relays:
            relay.disconnect_at_next_call()
        error = await self.fail_to_forward(make_call(body=ORDER))
        self.assertEqual(
            (error.ran, error.code),
            (ExecutionStatus.NOT_EXECUTED, ErrorCode.OVERLOADED),
        )
        self.assertEqual([each.received for each in self.agents], [[], []])
        for relay in self.relays:
            self.assertNotIn(ORDER, relay.received)

    async def test_a_stalled_connection_is_sent_no_order(self) -> None:
        # The way to the nearer agent is frozen with its connection standing. The
        # caller was held to its deadline and told "unknown". What is held there has no
        # order in it: when it thaws, after the other agent has served, nothing runs.
        self.relays[0].pause()
        deadline = time.monotonic() + CALLER_TIMEOUT_SECONDS
        await self.forward(make_call(body=ORDER, deadline=deadline))
        self.assertTrue(self.delivery.complete)
        self.relays[0].resume()
        await self.connections.get_stub(self.addresses["near"]).Report(
            pb.ReportRequest()
        )
        self.assertEqual([len(each.received) for each in self.agents], [0, 1])
        self.assertNotIn(ORDER, self.relays[0].received)

    async def test_an_order_received_by_an_agent_is_unknown(self) -> None:
        # The nearer agent has the order when the connection is cut. It may run there,
        # so the other agent must not get it and "not run" would be false.
        async def disconnect() -> None:
            self.relays[0].disconnect()
            await asyncio.Event().wait()

        self.act = disconnect
        error = await self.fail_to_forward(make_call(body=ORDER))
        self.assertEqual(
            (error.ran, error.code),
            (ExecutionStatus.UNKNOWN, ErrorCode.OUTCOME_UNKNOWN),
        )
        self.assertEqual([len(each.received) for each in self.agents], [1, 0])

    async def test_certificates_replaced_before_the_order_is_sent(self) -> None:
        # The certificates are replaced while the agent is asked, and its channel is
        # closed to new calls. The order goes out on a new one and is served there.
        self.agents[0].on_first_probe = self.certificates.reload
        await self.forward(make_call(body=ORDER))
        self.assertTrue(self.delivery.complete)
        self.assertEqual([each.probe_count for each in self.agents], [2, 0])
        self.assertEqual([len(each.received) for each in self.agents], [1, 0])

    async def test_a_disconnect_between_probe_and_order_is_unknown(
        self,
    ) -> None:
        # The nearer agent answers, its connection is cut, and gRPC has not read that
        # when the order is written. No agent has it, but nothing that the gateway sees
        # tells this from an order under way.
        self.agents[0].on_first_probe = self.relays[0].disconnect_at_next_call
        error = await self.fail_to_forward(make_call(body=ORDER))
        self.assertEqual(
            (error.ran, error.code),
            (ExecutionStatus.UNKNOWN, ErrorCode.OUTCOME_UNKNOWN),
        )
        self.assertEqual([each.received for each in self.agents], [[], []])

    async def test_an_idempotent_request_waits_for_no_probe(self) -> None:
        # A prompt may run twice, and a lost connection costs it one more attempt. It
        # does not pay for the question that an order needs.
        await self.forward(make_call(body=ORDER, idempotent=True))
        self.assertTrue(self.delivery.complete)
        self.assertEqual([each.probe_count for each in self.agents], [0, 0])


def make_agent() -> FakeAgent:
    """Return an agent that serves at once."""
    return FakeAgent(do_nothing, make_responses)


def make_responses(attempt: str) -> list[pb.ServeEvent]:
    """Return a whole answer to an attempt."""
    return make_response(attempt=attempt)
