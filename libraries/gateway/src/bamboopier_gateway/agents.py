"""Connections to agents, one channel each, opened at first use."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

import grpc

from bamboopier_daemon.daemon import GRPC_OPTIONS
from bamboopier_protocol import agent_pb2_grpc

if TYPE_CHECKING:
    from types import TracebackType

CONNECT_SECONDS = 1.0
OPTIONS = [
    *GRPC_OPTIONS,
    # gRPC would send a call again by itself when a connection breaks early; whether a
    # request may be repeated is the router's decision.
    ("grpc.enable_retries", 0),
    # An agent that was replaced is reached again within a second.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
]


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
        return agent_pb2_grpc.AgentStub(self._find_channel(address))

    async def reach(
        self, address: str, timeout: float = CONNECT_SECONDS
    ) -> agent_pb2_grpc.AgentStub | None:
        """Return a stub once its connection stands; None when nothing can be sent.

        gRPC gives one status for a connection that was never made and for one that
        broke with the request under way. Waiting for the connection first tells them
        apart: without it a dead agent makes every non-idempotent call end "unknown".
        """
        channel = self._find_channel(address)
        try:
            async with asyncio.timeout(min(timeout, CONNECT_SECONDS)):
                if not await _is_ready(channel):
                    return None
        except TimeoutError:
            return None
        return agent_pb2_grpc.AgentStub(channel)

    def _find_channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=OPTIONS)
            self._channels[address] = channel
        return channel

    async def keep_only(self, addresses: set[str]) -> None:
        """Close the channels of agents that are gone."""
        for address in set(self._channels) - addresses:
            await self._channels.pop(address).close(None)


async def _is_ready(channel: grpc.aio.Channel) -> bool:
    """Wait while the channel connects; False at the first failure."""
    state = channel.get_state(try_to_connect=True)
    while state in (grpc.ChannelConnectivity.IDLE, grpc.ChannelConnectivity.CONNECTING):
        await channel.wait_for_state_change(state)
        state = channel.get_state(try_to_connect=True)
    return bool(state is grpc.ChannelConnectivity.READY)
