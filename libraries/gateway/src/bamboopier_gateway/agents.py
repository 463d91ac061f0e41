"""Connections to agents, one channel each, opened at first use."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

import grpc

from bamboopier_daemon.daemon import GRPC_OPTIONS
from bamboopier_protocol import agent_pb2_grpc

if TYPE_CHECKING:
    from types import TracebackType


# A stream may outlast its target's place in the VM list by this long: a week, which is
# the longest timeout a service may have.
CLOSE_GRACE_SECONDS = 7 * 86_400.0


def open_channel(address: str) -> grpc.aio.Channel:
    """Return a channel to the agent at ``address``; it connects at first use."""
    return grpc.aio.insecure_channel(address, options=GRPC_OPTIONS)


class Agents:
    """Hands out stubs by address; closes what it opened."""

    def __init__(self) -> None:
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._closing: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for task in self._closing:
            task.cancel()
        for channel in self._channels.values():
            await channel.close(None)

    def find(self, address: str) -> agent_pb2_grpc.AgentStub:
        """Return a stub for the agent at ``address``."""
        channel = self._channels.get(address)
        if channel is None:
            channel = open_channel(address)
            self._channels[address] = channel
        return agent_pb2_grpc.AgentStub(channel)

    def keep_only(self, addresses: set[str]) -> None:
        """Close the channels of agents that are gone, each once its streams have ended.

        The VM list may drop a target while it still answers; cutting its streams would
        leave callers with half an answer. Never closing would keep a connection for
        each of the 84 VMs replaced a day.
        """
        for address in set(self._channels) - addresses:
            channel = self._channels.pop(address)
            task = asyncio.create_task(channel.close(CLOSE_GRACE_SECONDS))
            self._closing.add(task)
            task.add_done_callback(self._closing.discard)
