"""Tests of the responses to callers when connections to agents fail, on real gRPC.

A closed connection counts as ready until gRPC has read its end, and a request written
to it fails like one in flight. "Not run" may be reported only for a request that no
agent can still receive, and then another agent is tried; for one that an agent may
have, only "unknown" is true, and no second agent may receive it.
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

# Reached only by a test that would otherwise hang.
HANG_SECONDS = 10.0
# An order's body, which appears unchanged in the bytes of a request.
ORDER = b"van to A46, box 117"
# Timeout of the caller where an agent is silent; longer than that of the probe.
CALLER_TIMEOUT_SECONDS = 2.5


async def do_nothing() -> None:
    """Let the agent respond at once."""


class ForwarderTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.enterContext(mock.patch("bamboopier_gateway.forwarder.log"))
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        await self.stack.enter_async_context(asyncio.timeout(HANG_SECONDS))
        self.act: Callable[[], Awaitable[None]] = do_nothing
        # The first is the nearer one, which the router prefers.
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
            self.assertIsNotNone(await self.connections.connect_with_retries(address))
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
            find_wait=lambda _: 0.0,
            record_crash=lambda *_: None,
            record_completed=lambda _: None,
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
        # The nearer agent's connection is closed, and gRPC reads that only after it has
        # written to it. Guards against "unknown" for an order that no agent received:
        # it is not sent there, and the other agent serves it.
        self.relays[0].disconnect_at_next_call()
        await self.forward(make_call(body=ORDER))
        self.assertEqual((self.delivery.body, self.delivery.complete), (BODY, True))
        self.assertEqual([len(each.received) for each in self.agents], [0, 1])
        self.assertNotIn(ORDER, self.relays[0].received)

    async def test_disconnects_of_every_agent_are_reported_as_not_run(self) -> None:
        # The same at both agents: none can serve the order, and since it was sent to
        # neither, the caller may resend it.
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
        # The nearer agent's connection stays open but stalls. Guards against a caller
        # that waits until its deadline and gets "unknown". The stalled data contains no
        # order: nothing runs when it resumes, after the other agent has served.
        self.relays[0].pause()
        deadline = time.monotonic() + CALLER_TIMEOUT_SECONDS
        await self.forward(make_call(body=ORDER, deadline=deadline))
        self.assertTrue(self.delivery.complete)
        self.relays[0].resume()
        near = await self.connections.connect(self.addresses["near"])
        assert near is not None
        await near.Report(pb.ReportRequest())
        self.assertEqual([len(each.received) for each in self.agents], [0, 1])
        self.assertNotIn(ORDER, self.relays[0].received)

    async def test_an_order_received_by_an_agent_is_unknown(self) -> None:
        # The nearer agent has the order when the connection is closed. It may run
        # there, so the other agent must not receive it and "not run" would be false.
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
        # The certificates are replaced during the probe, and the agent's channel is
        # closed to new calls. The order is sent on a new channel and served there.
        self.agents[0].on_first_probe = self.certificates.reload
        await self.forward(make_call(body=ORDER))
        self.assertTrue(self.delivery.complete)
        self.assertEqual([each.probe_count for each in self.agents], [2, 0])
        self.assertEqual([len(each.received) for each in self.agents], [1, 0])

    async def test_a_disconnect_between_probe_and_order_is_unknown(
        self,
    ) -> None:
        # The nearer agent answers the probe, its connection is closed, and gRPC has not
        # read that when the order is written. No agent has the order, but the gateway
        # cannot distinguish this from an order in flight.
        self.agents[0].on_first_probe = self.relays[0].disconnect_at_next_call
        error = await self.fail_to_forward(make_call(body=ORDER))
        self.assertEqual(
            (error.ran, error.code),
            (ExecutionStatus.UNKNOWN, ErrorCode.OUTCOME_UNKNOWN),
        )
        self.assertEqual([each.received for each in self.agents], [[], []])

    async def test_an_idempotent_request_waits_for_no_probe(self) -> None:
        # A prompt may run twice, and a lost connection costs it one more attempt.
        # Guards against the delay of a probe, which only an order needs.
        await self.forward(make_call(body=ORDER, idempotent=True))
        self.assertTrue(self.delivery.complete)
        self.assertEqual([each.probe_count for each in self.agents], [0, 0])


def make_agent() -> FakeAgent:
    """Return an agent that responds at once."""
    return FakeAgent(do_nothing, make_responses)


def make_responses(attempt: str) -> list[pb.ServeEvent]:
    """Return a complete response to an attempt."""
    return make_response(attempt=attempt)
