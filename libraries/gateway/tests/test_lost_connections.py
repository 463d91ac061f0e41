"""Tests of calls whose connection to the agent is lost, on real gRPC.

A gateway finds a ready connection and hands the call to gRPC. If the connection closes
before that, no connection carries the request: gRPC reconnects, is refused and abandons
the call. If it closes afterwards, the agent may have the request. Both fail with the
same status; the first must be reported as "not run" and the second never, because it
might run twice.
"""

from __future__ import annotations

import asyncio
import unittest

import grpc

from bamboopier_decisions.routing.messages import ExecutionStatus
from bamboopier_gateway.attempt import Attempt
from bamboopier_protocol import agent_pb2 as pb
from bamboopier_protocol.agent_pb2_grpc import AgentStub

from .builders import FakeDelivery, make_call
from .relayed_agents import FakeAgent, start_agent

# Reached only by a test that would otherwise hang.
HANG_SECONDS = 10.0
NO_CONNECTION = "failed to connect to all addresses; last error: refused"


async def block_forever() -> None:
    await asyncio.Event().wait()


class LostConnectionTests(unittest.IsolatedAsyncioTestCase):
    async def test_disconnect_before_the_request_was_sent(self) -> None:
        # The agent's connection is closed right after it was found ready, and gRPC
        # detects that before the call is handed to it. Guards against "unknown" for a
        # request that was never sent, with no other agent tried.
        agent = FakeAgent(block_forever)
        async with (
            asyncio.timeout(HANG_SECONDS),
            start_agent(agent) as (relay, channel),
        ):
            attempt = Attempt(make_call(), AgentStub(channel), 1)
            relay.disconnect()
            await channel.wait_for_state_change(grpc.ChannelConnectivity.READY)
            result = await attempt.run(FakeDelivery())
        self.assertEqual(
            (result.ran, agent.received), (ExecutionStatus.NOT_EXECUTED, [])
        )
        self.assertEqual((result.cause, result.broken), (pb.CONNECTION_LOST, True))

    async def test_disconnect_after_the_agent_received_the_request(self) -> None:
        # The agent has the request when its connection is closed, and new connections
        # are refused, as in the test above. The request runs there: "not run" would be
        # false, and a second agent would run it again.
        async def disconnect() -> None:
            relay.disconnect()
            await block_forever()

        agent = FakeAgent(disconnect)
        async with (
            asyncio.timeout(HANG_SECONDS),
            start_agent(agent) as (relay, channel),
        ):
            attempt = Attempt(make_call(), AgentStub(channel), 1)
            result = await attempt.run(FakeDelivery())
        self.assertEqual(agent.received, [attempt.attempt_id])
        self.assertEqual(
            (result.ran, result.cause), (ExecutionStatus.UNKNOWN, pb.CONNECTION_LOST)
        )

    async def test_an_agent_that_fails_to_connect_elsewhere(self) -> None:
        # The agent has the request and fails with the error of a call of its own. The
        # gRPC message of that call does not apply to this one.
        async def fail() -> None:
            none = grpc.aio.Metadata()
            status = grpc.StatusCode.UNAVAILABLE
            raise grpc.aio.AioRpcError(status, none, none, NO_CONNECTION)

        agent = FakeAgent(fail)
        async with asyncio.timeout(HANG_SECONDS), start_agent(agent) as (_, channel):
            attempt = Attempt(make_call(), AgentStub(channel), 1)
            result = await attempt.run(FakeDelivery())
        self.assertEqual(agent.received, [attempt.attempt_id])
        self.assertEqual(result.ran, ExecutionStatus.UNKNOWN)
