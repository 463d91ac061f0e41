"""Connections to agents, one channel each, opened at first use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Self

import grpc

from bamboopier_daemon.daemon import GRPC_OPTIONS
from bamboopier_protocol import agent_pb2_grpc

if TYPE_CHECKING:
    from types import TracebackType


class Agents:
    """Hands out stubs by address; closes what it opened."""

    def __init__(self) -> None:
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for channel in self._channels.values():
            await channel.close(None)

    def find(self, address: str) -> agent_pb2_grpc.AgentStub:
        """Return a stub for the agent at ``address``."""
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=GRPC_OPTIONS)
            self._channels[address] = channel
        return agent_pb2_grpc.AgentStub(channel)

    async def keep_only(self, addresses: set[str]) -> None:
        """Close the channels of agents that are gone."""
        for address in set(self._channels) - addresses:
            await self._channels.pop(address).close(None)
