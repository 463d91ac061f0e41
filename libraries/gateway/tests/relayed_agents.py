"""Agents on real gRPC behind relays that lose their connections."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any

import grpc

from bamboopier_gateway.agent_connections import CHANNEL_OPTIONS
from bamboopier_protocol import agent_pb2 as pb
from bamboopier_protocol.agent_pb2_grpc import (
    AgentServicer,
    add_AgentServicer_to_server,
)

from .builders import make_event

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

HOST = "127.0.0.1"
BUFFER_BYTES = 65536
FRAME_HEADER_BYTES = 9
HEADERS_FRAME_TYPE = 1


class Relay:
    """Passes connections to an agent until it is cut, and refuses them from then on."""

    def __init__(self, port: int) -> None:
        self._port = port
        # Connections are taken, and lead nowhere, until this is set.
        self.may_accept = asyncio.Event()
        self.may_accept.set()
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server
        # What came from the gateway, passed on or not.
        self.received = b""
        self._is_forwarding = asyncio.Event()
        self._is_forwarding.set()
        self.is_holding_call = asyncio.Event()
        self._disconnects_at_next_call = False

    async def start(self) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def disconnect(self) -> None:
        """Refuse connections and drop those there are."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def disconnect_at_next_call(self) -> None:
        """Cut, but let gRPC see it only once it has written its next call.

        That is what a cut comes to that gRPC has not read yet: the call goes to a
        connection that leads nowhere, and fails.
        """
        self._server.close()
        self._disconnects_at_next_call = True

    def pause(self) -> None:
        """Keep what comes from the gateway; connections stand."""
        self._is_forwarding.clear()

    def resume(self) -> None:
        """Pass on what was held, and what comes."""
        self._is_forwarding.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        await self.may_accept.wait()
        agent_reader, agent_writer = await asyncio.open_connection(HOST, self._port)
        self._writers.append(agent_writer)
        await asyncio.gather(
            self._forward_calls(reader, agent_writer),
            self._forward_responses(agent_reader, writer),
        )

    async def _forward_calls(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(BUFFER_BYTES):
                self.received += data
                if not self._is_forwarding.is_set() and _has_call(data):
                    self.is_holding_call.set()
                await self._is_forwarding.wait()
                if not self._disconnects_at_next_call:
                    writer.write(data)
                elif _has_call(data):
                    self.disconnect()
        writer.transport.abort()

    async def _forward_responses(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(BUFFER_BYTES):
                writer.write(data)
        writer.transport.abort()


def _has_call(data: bytes) -> bool:
    """Say whether one of these whole HTTP/2 frames opens a call."""
    while len(data) >= FRAME_HEADER_BYTES:
        if data[3] == HEADERS_FRAME_TYPE:
            return True
        data = data[FRAME_HEADER_BYTES + int.from_bytes(data[:3]) :]
    return False


def make_refusal_events(attempt: str) -> list[pb.ServeEvent]:
    """Return the answer of an agent that runs nothing."""
    return [make_event(0, attempt, not_run=pb.NotRun())]


class FakeAgent(AgentServicer):
    """Notes what it is given, then does as it is told."""

    def __init__(
        self,
        act: Callable[[], Awaitable[None]],
        make_events: Callable[[str], list[pb.ServeEvent]] = make_refusal_events,
    ) -> None:
        self._act = act
        self._make_events = make_events
        self.received: list[str] = []
        self.probe_count = 0
        # Called at the first question.
        self.on_first_probe: Callable[[], None] | None = None

    async def Serve(  # noqa: N802 (the name is the protocol's)
        self, request: pb.ServeRequest, context: Any
    ) -> AsyncIterator[pb.ServeEvent]:
        self.received.append(request.attempt_id)
        await self._act()
        for event in self._make_events(request.attempt_id):
            yield event

    async def Report(  # noqa: N802 (the name is the protocol's)
        self, request: pb.ReportRequest, context: Any
    ) -> pb.LoadReport:
        self.probe_count += 1
        if self.probe_count == 1 and self.on_first_probe is not None:
            self.on_first_probe()
        return pb.LoadReport(accepting=True)


@asynccontextmanager
async def start_relayed_agent(agent: FakeAgent) -> AsyncIterator[tuple[Relay, str]]:
    """Start an agent behind a relay; give the relay and its address."""
    server = grpc.aio.server()
    add_AgentServicer_to_server(agent, server)
    relay = Relay(server.add_insecure_port(f"{HOST}:0"))
    await server.start()
    yield relay, await relay.start()
    relay.disconnect()
    await server.stop(None)


@asynccontextmanager
async def start_agent(
    agent: FakeAgent,
) -> AsyncIterator[tuple[Relay, grpc.aio.Channel]]:
    """Start an agent behind a relay; give a channel whose connection stands."""
    async with (
        start_relayed_agent(agent) as (relay, address),
        grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS) as channel,
    ):
        await channel.channel_ready()
        yield relay, channel
