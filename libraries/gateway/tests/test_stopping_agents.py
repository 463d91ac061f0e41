"""Tests of streams at an agent that stops, while other calls connect to it."""

from __future__ import annotations

import asyncio
import unittest
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import grpc

from bamboopier_gateway.agent_connections import AgentConnections
from bamboopier_protocol import agent_pb2 as pb
from bamboopier_protocol.agent_pb2_grpc import (
    AgentServicer,
    add_AgentServicer_to_server,
)

from .builders import make_event

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HOST = "127.0.0.1"
# Reached only by a test that would otherwise hang.
HANG_SECONDS = 20.0
STREAM_EVENTS = 40
# Read before the agent stops.
FIRST_EVENTS = 5
EVENT_INTERVAL_SECONDS = 0.05
# Several times gRPC's longest back-off between connection attempts.
RECONNECT_WINDOW_SECONDS = 1.0


class StreamingAgent(AgentServicer):
    """Answers each attempt with ``STREAM_EVENTS`` events, one at a time."""

    async def Serve(  # noqa: N802 (the name is the protocol's)
        self, request: pb.ServeRequest, context: Any
    ) -> AsyncIterator[pb.ServeEvent]:
        for number in range(STREAM_EVENTS):
            yield make_event(number, request.attempt_id, chunk=b"token")
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)


class StoppingAgent:
    """A streaming agent on real gRPC that may stop in the middle of its streams."""

    def __init__(self) -> None:
        self._server = grpc.aio.server()
        add_AgentServicer_to_server(StreamingAgent(), self._server)
        port = self._server.add_insecure_port(f"{HOST}:0")
        self.address = f"{HOST}:{port}"
        self._stopping: asyncio.Task[None] | None = None

    async def start(self) -> None:
        await self._server.start()

    async def stop_accepting(self) -> None:
        """Refuse new connections and calls; running streams go on."""
        self._stopping = asyncio.create_task(self._server.stop(HANG_SECONDS))
        host, _, port = self.address.partition(":")
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except ConnectionError:
                return
            writer.close()
            await asyncio.sleep(0.01)

    async def end(self) -> None:
        await self._server.stop(None)
        if self._stopping is not None:
            await self._stopping


@asynccontextmanager
async def start_streaming_agent() -> AsyncIterator[StoppingAgent]:
    """Start an agent and end it with the context."""
    agent = StoppingAgent()
    await agent.start()
    try:
        yield agent
    finally:
        await agent.end()


class StoppingAgentTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.agent = await self.enterAsyncContext(start_streaming_agent())
        self.agents = await self.enterAsyncContext(AgentConnections())

    async def open_stream(self) -> AsyncIterator[pb.ServeEvent]:
        """Return a stream of which the first events have been read."""
        stub = await self.agents.connect(self.agent.address)
        assert stub is not None
        stream = stub.Serve(pb.ServeRequest(attempt_id="attempt"))
        events = aiter(stream)
        for _ in range(FIRST_EVENTS):
            await anext(events)
        return events

    async def count_rest(self, events: AsyncIterator[pb.ServeEvent]) -> int:
        return sum([1 async for _ in events])

    async def stop_agent(self) -> None:
        """Stop the agent, and connect to it until that fails."""
        async with asyncio.timeout(HANG_SECONDS):
            await self.agent.stop_accepting()
            while True:
                if await self.agents.connect(self.agent.address) is None:
                    return
                await asyncio.sleep(0.01)

    async def test_a_failed_connect_cuts_no_stream(self) -> None:
        # Guards against streams that end early when another call finds their stopping
        # agent's port closed.
        events = await self.open_stream()
        await self.stop_agent()
        self.assertEqual(await self.count_rest(events), STREAM_EVENTS - FIRST_EVENTS)

    async def test_streams_of_a_stopping_agent_cause_no_reconnecting(self) -> None:
        # Guards against connection attempts without a request, five a second, for as
        # long as a stream of a stopping agent lasts.
        events = await self.open_stream()
        await self.stop_agent()
        attempts = 0

        async def count(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal attempts
            attempts += 1
            writer.transport.abort()

        host, _, port = self.agent.address.partition(":")
        listener = await asyncio.start_server(count, host, int(port))
        await asyncio.sleep(RECONNECT_WINDOW_SECONDS)
        self.assertEqual(attempts, 0)
        listener.close()
        self.assertEqual(await self.count_rest(events), STREAM_EVENTS - FIRST_EVENTS)

    async def test_an_agent_replaced_at_its_address_serves_beside_old_streams(
        self,
    ) -> None:
        # Guards against streams of the old agent that end when calls go to the new one.
        events = await self.open_stream()
        await self.stop_agent()
        replacement = grpc.aio.server()
        add_AgentServicer_to_server(StreamingAgent(), replacement)
        replacement.add_insecure_port(self.agent.address)
        await replacement.start()
        new_events = await self.open_stream()
        self.assertEqual(await self.count_rest(events), STREAM_EVENTS - FIRST_EVENTS)
        rest = await self.count_rest(new_events)
        self.assertEqual(rest, STREAM_EVENTS - FIRST_EVENTS)
        await replacement.stop(None)
