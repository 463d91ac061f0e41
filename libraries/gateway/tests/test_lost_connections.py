"""What is known of a call whose connection to its agent was cut, on real gRPC.

A gateway finds the connection standing and hands the call to gRPC. Cut before that, the
request reaches no connection: gRPC connects anew, is refused and gives the call up. Cut
after it, the agent may have the request. Both fail with one status, and the caller must
be told "not run" of the first and never of the second, which might run twice.
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

# Only reached by a test that would hang.
HANG_SECONDS = 10.0
NO_CONNECTION = "failed to connect to all addresses; last error: refused"


async def block_forever() -> None:
    await asyncio.Event().wait()


class LostConnectionTests(unittest.IsolatedAsyncioTestCase):
    async def test_disconnect_before_the_request_was_sent(self) -> None:
        # The agent's connection is cut right after it was found standing, and gRPC
        # notices before the call is handed to it. The caller was told "unknown" of a
        # request that was never sent, and no other agent was tried.
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
        # The agent has the request when its connection is cut, and nobody listens any
        # more, as in the other case. It runs there: "not run" would be false, and a
        # second agent would run it again.
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
        # The agent has the request and fails with an error of a call that it makes
        # itself. What gRPC says of that call says nothing about this one.
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
