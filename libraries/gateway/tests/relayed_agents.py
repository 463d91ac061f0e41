"""Agents on real gRPC behind relays that lose their connections."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any

import grpc

from bamboopier_gateway.agents import OPTIONS
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


class Relay:
    """Passes connections to an agent until it is cut, and refuses them from then on."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server

    async def start(self) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        """Refuse connections and drop those there are."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(HOST, self._port)
        self._writers += [writer, far_writer]
        await asyncio.gather(
            self._pass(reader, far_writer), self._pass(far_reader, writer)
        )

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(BUFFER):
                writer.write(data)
        writer.transport.abort()


class Agent(AgentServicer):
    """Notes what it is given, then does as it is told."""

    def __init__(self, act: Callable[[], Awaitable[None]]) -> None:
        self._act = act
        self.received: list[str] = []

    async def Serve(  # noqa: N802 (the name is the protocol's)
        self, request: pb.ServeRequest, context: Any
    ) -> AsyncIterator[pb.ServeEvent]:
        self.received.append(request.attempt_id)
        await self._act()
        yield make_event(0, request.attempt_id, not_run=pb.NotRun())


@asynccontextmanager
async def start_agent(agent: Agent) -> AsyncIterator[tuple[Relay, grpc.aio.Channel]]:
    """Start an agent behind a relay; give a channel whose connection stands."""
    server = grpc.aio.server()
    add_AgentServicer_to_server(agent, server)
    relay = Relay(server.add_insecure_port(f"{HOST}:0"))
    await server.start()
    address = await relay.start()
    async with grpc.aio.insecure_channel(address, options=OPTIONS) as channel:
        await channel.channel_ready()
        yield relay, channel
    relay.cut()
    await server.stop(None)
