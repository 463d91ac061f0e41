"""Tests of responses that gateways have not received when their agent stops."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, Any

import grpc
from structlog.testing import capture_logs

from bamboopier_agent import shutdown
from bamboopier_daemon.stopping import StopSignals
from bamboopier_protocol.agent_pb2_grpc import AgentStub, add_AgentServicer_to_server

from .builders import FakeObjects
from .service_builders import FakeTarget, make_gate, make_request, make_service

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from bamboopier_protocol import agent_pb2 as pb

HOST = "127.0.0.1"
# More than gRPC buffers for a gateway that does not read, in no more events than the
# agent buffers, so that the request itself ends.
CHUNK = b"x" * 1_000_000
CHUNKS = 14
# Longer than a wait for gateways that is not the shutdown timeout.
PAUSE_SECONDS = 32.0
SHUTDOWN_TIMEOUT_SECONDS = 60.0
SHORT_TIMEOUT_SECONDS = 0.5
# Reached only by a test that would otherwise hang.
HANG_SECONDS = 50.0


class LargeResponseTarget(FakeTarget):
    """Responds with more than the buffers of a connection hold."""

    async def _list_chunks(self) -> AsyncIterator[bytes]:
        for _ in range(CHUNKS):
            yield CHUNK


class SlowGatewayTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.gate = make_gate()
        target = LargeResponseTarget()
        self.service = make_service(FakeObjects(), target, "agent-1", self.gate)
        self.server = grpc.aio.server()
        add_AgentServicer_to_server(self.service, self.server)
        port = self.server.add_insecure_port(f"{HOST}:0")
        await self.server.start()
        options = [("grpc.max_receive_message_length", 2 * len(CHUNK))]
        self.channel = grpc.aio.insecure_channel(f"{HOST}:{port}", options)
        await self.enterAsyncContext(self.channel)

    async def start_response(self) -> AsyncIterator[pb.ServeEvent]:
        """Return a response that its target has completed, with its head read."""
        request = make_request("attempt", idempotent=True)
        events = aiter(AgentStub(self.channel).Serve(request))
        self.assertTrue((await anext(events)).HasField("head"))
        await self.gate.wait_until_idle()
        return events

    async def stop(self, timeout: float) -> list[Any]:
        """Stop the agent and return what it has logged."""
        with StopSignals() as signals, capture_logs() as lines:
            async with asyncio.timeout(HANG_SECONDS):
                await shutdown.stop_serving(
                    signals, self.gate, self.service, self.server, timeout
                )
        return lines

    async def test_a_completed_response_is_sent_until_the_shutdown_timeout(
        self,
    ) -> None:
        # Guards against a complete response that is cut because its caller reads it
        # slowly, although the agent has time left to stop.
        events = await self.start_response()
        stopping = asyncio.create_task(self.stop(SHUTDOWN_TIMEOUT_SECONDS))
        await asyncio.sleep(PAUSE_SECONDS)
        rest = [event async for event in events]
        self.assertTrue(rest[-1].HasField("finished"))
        self.assertEqual(len(rest), CHUNKS + 1)
        self.assertEqual(await stopping, [])

    async def test_a_response_cut_by_the_shutdown_timeout_is_logged(self) -> None:
        # Guards against a cut that no log line explains, as nothing was running.
        events = await self.start_response()
        (line,) = await self.stop(SHORT_TIMEOUT_SECONDS)
        self.assertEqual(
            (line["event"], line["reason"], line["running"], line["unsent"]),
            ("requests cut", "timeout", 0, 1),
        )
        with self.assertRaises(grpc.aio.AioRpcError):
            [event async for event in events]
