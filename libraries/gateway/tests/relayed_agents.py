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
BUFFER = 65536
FRAME_HEAD = 9
HEADERS_FRAME = 1


class Relay:
    """Passes connections to an agent until it is cut, and refuses them from then on."""

    def __init__(self, port: int) -> None:
        self._port = port
        # Connections are taken, and lead nowhere, until this is set.
        self.may_pass = asyncio.Event()
        self.may_pass.set()
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server
        # What came from the gateway, passed on or not.
        self.taken = b""
        self._passes = asyncio.Event()
        self._passes.set()
        self.holds_call = asyncio.Event()
        self._cuts_next_call = False

    async def start(self) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        """Refuse connections and drop those there are."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def cut_unread(self) -> None:
        """Cut, but let gRPC see it only once it has written its next call.

        That is what a cut comes to that gRPC has not read yet: the call goes to a
        connection that leads nowhere, and fails.
        """
        self._server.close()
        self._cuts_next_call = True

    def hold(self) -> None:
        """Keep what comes from the gateway; connections stand."""
        self._passes.clear()

    def release(self) -> None:
        """Pass on what was held, and what comes."""
        self._passes.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        await self.may_pass.wait()
        far_reader, far_writer = await asyncio.open_connection(HOST, self._port)
        self._writers.append(far_writer)
        await asyncio.gather(
            self._pass_calls(reader, far_writer),
            self._pass_answers(far_reader, writer),
        )

    async def _pass_calls(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(BUFFER):
                self.taken += data
                if not self._passes.is_set() and _has_call(data):
                    self.holds_call.set()
                await self._passes.wait()
                if not self._cuts_next_call:
                    writer.write(data)
                elif _has_call(data):
                    self.cut()
        writer.transport.abort()

    async def _pass_answers(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(BUFFER):
                writer.write(data)
        writer.transport.abort()


def _has_call(data: bytes) -> bool:
    """Say whether one of these whole HTTP/2 frames opens a call."""
    while len(data) >= FRAME_HEAD:
        if data[3] == HEADERS_FRAME:
            return True
        data = data[FRAME_HEAD + int.from_bytes(data[:3]) :]
    return False


def refuse(attempt: str) -> list[pb.ServeEvent]:
    """Return the answer of an agent that runs nothing."""
    return [make_event(0, attempt, not_run=pb.NotRun())]


class Agent(AgentServicer):
    """Notes what it is given, then does as it is told."""

    def __init__(
        self,
        act: Callable[[], Awaitable[None]],
        make_events: Callable[[str], list[pb.ServeEvent]] = refuse,
    ) -> None:
        self._act = act
        self._make_events = make_events
        self.received: list[str] = []
        self.asked = 0
        # Called at the first question.
        self.when_asked: Callable[[], None] | None = None

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
        self.asked += 1
        if self.asked == 1 and self.when_asked is not None:
            self.when_asked()
        return pb.LoadReport(accepting=True)


@asynccontextmanager
async def start_relayed(agent: Agent) -> AsyncIterator[tuple[Relay, str]]:
    """Start an agent behind a relay; give the relay and its address."""
    server = grpc.aio.server()
    add_AgentServicer_to_server(agent, server)
    relay = Relay(server.add_insecure_port(f"{HOST}:0"))
    await server.start()
    yield relay, await relay.start()
    relay.cut()
    await server.stop(None)


@asynccontextmanager
async def start_agent(agent: Agent) -> AsyncIterator[tuple[Relay, grpc.aio.Channel]]:
    """Start an agent behind a relay; give a channel whose connection stands."""
    async with (
        start_relayed(agent) as (relay, address),
        grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS) as channel,
    ):
        await channel.channel_ready()
        yield relay, channel
