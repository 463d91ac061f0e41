"""Tests of responses for a key whose claim another agent holds, on real gRPC.

A gateway queries the claim holder for the outcome. If the holder runs the request, or
stalls briefly and then reports that it runs it, the caller is told to retry; if it is
gone, the caller gets "outcome unknown" before its deadline.
"""

from __future__ import annotations

import asyncio
import time
import unittest
from typing import Any
from unittest import mock

import grpc
from structlog.testing import capture_logs

from bamboopier_decisions.routing.messages import ExecutionStatus
from bamboopier_gateway import agent_connections
from bamboopier_gateway.agent_connections import AgentConnections
from bamboopier_gateway.attempt import AttemptResult
from bamboopier_gateway.errors import CallerError, ErrorCode
from bamboopier_gateway.recall import Recall
from bamboopier_protocol import agent_pb2 as pb
from bamboopier_protocol.agent_pb2_grpc import (
    AgentServicer,
    add_AgentServicer_to_server,
)

from .builders import FakeDelivery, make_call
from .relayed_agents import HOST, Relay

# Reached only by a test that would otherwise hang.
HANG_SECONDS = 10.0
# Longer than gRPC's timeout of one connection attempt, shorter than a caller's.
STALL_SECONDS = 0.35


class ClaimHolder(AgentServicer):
    """Reports every request as running."""

    async def Recall(  # noqa: N802 (the name is the protocol's)
        self, request: pb.RecallRequest, context: Any
    ) -> pb.RecallReply:
        return pb.RecallReply(state=pb.RecallReply.RUNNING)


class RecallTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        server = grpc.aio.server()
        add_AgentServicer_to_server(ClaimHolder(), server)
        self.relay = Relay(server.add_insecure_port(f"{HOST}:0"))
        await server.start()
        self.addAsyncCleanup(server.stop, None)
        self.address = await self.relay.start()
        self.addCleanup(self.relay.disconnect)

    async def recall(self, seconds: float) -> CallerError:
        """Return the error for a caller with ``seconds`` until its deadline."""
        async with asyncio.timeout(HANG_SECONDS), AgentConnections() as agents:
            claimed = AttemptResult(
                ExecutionStatus.NOT_EXECUTED,
                pb.KEY_CLAIMED,
                claimed_by=self.address,
                claim_id="claim-1",
            )
            call = make_call(deadline=time.monotonic() + seconds)
            delivery: Any = FakeDelivery()
            with self.assertRaises(CallerError) as raised:
                await Recall(agents).respond(call, claimed, delivery)
        return raised.exception

    async def test_the_claim_holder_runs_it(self) -> None:
        error = await self.recall(HANG_SECONDS)
        self.assertEqual(error.code, ErrorCode.KEY_IN_PROGRESS)
        self.assertGreater(error.retry_after, 0)

    async def test_the_claim_holder_stalls_briefly(self) -> None:
        # The gateway has no connection to the holder yet. gRPC abandons its first
        # attempt after 0.3 s, before the holder resumes and responds. Guards
        # against "outcome unknown" at that point, after which a caller does not retry.
        self.relay.may_accept.clear()
        loop = asyncio.get_running_loop()
        loop.call_later(STALL_SECONDS, self.relay.may_accept.set)
        # This process, which also runs the holder, may stand still for longer than the
        # tries may take.
        with mock.patch.object(
            agent_connections, "CONNECT_TIMEOUT_SECONDS", HANG_SECONDS
        ):
            error = await self.recall(HANG_SECONDS)
        self.assertEqual(error.code, ErrorCode.KEY_IN_PROGRESS)

    def test_the_tries_outlast_a_brief_stall(self) -> None:
        # Guards against a limit within which the second try cannot succeed.
        attempt_seconds = agent_connections.ATTEMPT_TIMEOUT_MS / 1000
        pause_seconds = agent_connections.RETRY_INTERVAL_SECONDS
        needed = STALL_SECONDS + attempt_seconds + pause_seconds
        self.assertGreater(STALL_SECONDS, attempt_seconds)
        self.assertGreater(agent_connections.CONNECT_TIMEOUT_SECONDS, needed)

    async def test_the_claim_holder_is_gone(self) -> None:
        self.relay.disconnect()
        with capture_logs() as lines:
            error = await self.recall(STALL_SECONDS)
        # The caller's request id leads to the cause.
        (line,) = lines
        self.assertEqual(
            (line["event"], line["request_id"], line["holder"], line["reply"]),
            ("claim holder asked", "request-1", self.address, "unreachable"),
        )
        self.assertEqual(
            (error.code, error.ran),
            (ErrorCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN),
        )

    async def test_the_claim_holder_stalls_for_good(self) -> None:
        self.relay.may_accept.clear()
        error = await self.recall(STALL_SECONDS)
        self.assertEqual(
            (error.code, error.ran),
            (ErrorCode.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN),
        )
