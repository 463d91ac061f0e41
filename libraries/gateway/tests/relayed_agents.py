"""Fake agents on real gRPC behind relays that can close or stall connections."""

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
    """Forwards connections to an agent until ``disconnect``, then refuses them."""

    def __init__(self, port: int) -> None:
        self._port = port
        # Until this is set, connections are accepted but not forwarded.
        self.may_accept = asyncio.Event()
        self.may_accept.set()
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server
        # All bytes from the gateway, forwarded or not.
        self.received = b""
        self._is_forwarding = asyncio.Event()
        self._is_forwarding.set()
        # Data from the gateway that arrived during a pause, with its writer.
        self._held: list[tuple[asyncio.StreamWriter, bytes]] = []
        self.is_holding_call = asyncio.Event()
        self._disconnects_at_next_call = False

    async def start(self) -> str:
        """Start to listen; return the address."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def disconnect(self) -> None:
        """Refuse new connections and abort the open ones."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def disconnect_at_next_call(self) -> None:
        """Disconnect, but visibly for gRPC only after it has written its next call.

        This reproduces a closed connection whose end gRPC has not read yet: the call is
        written to a connection that reaches no agent, and fails.
        """
        self._server.close()
        self._disconnects_at_next_call = True

    def pause(self) -> None:
        """Hold data from the gateway; connections stay open."""
        self._is_forwarding.clear()

    def resume(self) -> None:
        """Forward the held data, and all later data."""
        self._is_forwarding.set()
        for writer, data in self._held:
            writer.write(data)
        self._held.clear()

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
                if not self._is_forwarding.is_set():
                    self._hold(data, writer)
                elif not self._disconnects_at_next_call:
                    writer.write(data)
                elif _has_call(data):
                    self.disconnect()
        await self._is_forwarding.wait()
        writer.transport.abort()

    def _hold(self, data: bytes, writer: asyncio.StreamWriter) -> None:
        self._held.append((writer, data))
        if _has_call(data):
            self.is_holding_call.set()

    async def _forward_responses(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(BUFFER_BYTES):
                writer.write(data)
        writer.transport.abort()


def _has_call(data: bytes) -> bool:
    """Return whether one of these complete HTTP/2 frames starts a call."""
    while len(data) >= FRAME_HEADER_BYTES:
        if data[3] == HEADERS_FRAME_TYPE:
            return True
        data = data[FRAME_HEADER_BYTES + int.from_bytes(data[:3]) :]
    return False


def make_refusal_events(attempt: str) -> list[pb.ServeEvent]:
    """Return the response of an agent that runs nothing."""
    return [make_event(0, attempt, not_run=pb.NotRun())]


class FakeAgent(AgentServicer):
    """Records the attempts it receives, calls ``act`` and sends prepared events."""

    def __init__(
        self,
        act: Callable[[], Awaitable[None]],
        make_events: Callable[[str], list[pb.ServeEvent]] = make_refusal_events,
    ) -> None:
        self._act = act
        self._make_events = make_events
        self.received: list[str] = []
        self.probe_count = 0
        # Called at the first probe.
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
    """Start an agent behind a relay; yield the relay and its address."""
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
    """Start an agent behind a relay; yield the relay and a connected channel."""
    async with (
        start_relayed_agent(agent) as (relay, address),
        grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS) as channel,
    ):
        await channel.channel_ready()
        yield relay, channel
