"""Connections to agents, one channel each, opened at first use."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Self

import grpc

from bamboopier_daemon.certificates import Certificates
from bamboopier_daemon.daemon import GRPC_OPTIONS
from bamboopier_protocol import agent_pb2 as pb, agent_pb2_grpc

if TYPE_CHECKING:
    from types import TracebackType

CONNECT_TIMEOUT_SECONDS = 1.0
# gRPC waits this long at the most, give or take a fifth, before it tries again.
MAX_BACKOFF_MS = 200
# Long enough for a fresh try after a failure that was there before: a refused
# connection then costs a caller this once, and the router passes the target over.
RECONNECT_TIMEOUT_SECONDS = 0.3
# Between tries for an agent that no other can stand in for.
RETRY_INTERVAL_SECONDS = 0.1
CHANNEL_OPTIONS = [
    *GRPC_OPTIONS,
    # gRPC would send a call again by itself when a connection breaks early; whether a
    # request may be repeated is the router's decision.
    ("grpc.enable_retries", 0),
    # An agent that was replaced is reached again within a second.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", MAX_BACKOFF_MS),
]

# A stream may outlast its target's place in the VM list, or its channel's certificate,
# by this long: a week, which is the longest timeout a service may have.
CLOSE_GRACE_SECONDS = 7 * 86_400.0


class AgentConnections:
    """Hands out stubs by address; closes what it opened."""

    def __init__(self, certificates: Certificates | None = None) -> None:
        self._certificates = certificates or Certificates(None)
        self._certificates.subscribe(self._replace_channels)
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

    def get_stub(self, address: str) -> agent_pb2_grpc.AgentStub:
        """Return a stub for the agent at ``address``."""
        return agent_pb2_grpc.AgentStub(self._find_channel(address))

    async def connect(
        self, address: str, timeout: float = CONNECT_TIMEOUT_SECONDS
    ) -> agent_pb2_grpc.AgentStub | None:
        """Return a stub once its connection stands; None when nothing can be sent.

        gRPC gives one status for a connection that was never made and for one that
        broke with the request under way. Waiting for the connection first tells them
        apart: without it a dead agent makes every non-idempotent call end "unknown".
        """
        channel = self._find_channel(address)
        with suppress(TimeoutError, grpc.aio.UsageError):
            async with asyncio.timeout(min(timeout, CONNECT_TIMEOUT_SECONDS)):
                if await _wait_for_connection(channel):
                    return agent_pb2_grpc.AgentStub(channel)
        await self._discard(address, channel)
        return None

    async def connect_with_retries(
        self, address: str, timeout: float = CONNECT_TIMEOUT_SECONDS
    ) -> agent_pb2_grpc.AgentStub | None:
        """Return a stub as ``connect`` does, for what no other agent can answer.

        gRPC gives a try up after a tenth of a second, which an agent on a busy VM may
        stand still. Taken for gone by then, the holder of a claim is never asked, and
        its caller is told "outcome unknown" with most of its time left. Tries go on
        until the time is over, a second at the most.
        """
        limit = time.monotonic() + min(timeout, CONNECT_TIMEOUT_SECONDS)
        while (remaining := limit - time.monotonic()) > 0:
            stub = await self.connect(address, remaining)
            if stub is not None:
                return stub
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        return None

    async def connect_and_probe(
        self, address: str, timeout: float
    ) -> agent_pb2_grpc.AgentStub | None:
        """Return a stub once its agent has answered; None when nothing can be sent.

        A connection that was cut counts as standing until gRPC has read the cut, and a
        call written to it fails like one that was under way: the caller of an order
        that no agent had is told "unknown", and no other agent is tried. A question
        that runs nothing goes first and meets such a cut. When it fails, the request
        itself has not been written, so "not run" holds whatever thaws later.
        """
        end = time.monotonic() + min(timeout, CONNECT_TIMEOUT_SECONDS)
        while stub := await self.connect(address, end - time.monotonic()):
            channel = self._channels.get(address)
            if not await _probe(stub, end - time.monotonic()):
                return None
            # One that was replaced meanwhile takes no new calls.
            if channel is not None and self._channels.get(address) is channel:
                return stub
        return None

    async def _discard(self, address: str, channel: grpc.aio.Channel) -> None:
        """Close a channel that has no connection; the next call opens another.

        Left open, gRPC goes on connecting by itself five times a second. A gateway
        that knows the 146 targets of a lost data centre would spend several times what
        it may on that.
        """
        if self._channels.get(address) is channel:
            del self._channels[address]
            await channel.close(None)

    def _find_channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._certificates.open_channel(address, CHANNEL_OPTIONS)
            self._channels[address] = channel
        return channel

    def keep_only(self, addresses: set[str]) -> None:
        """Close the channels of agents that are gone, each once its streams have ended.

        The VM list may drop a target while it still answers; cutting its streams would
        leave callers with half an answer. Never closing would keep a connection for
        each of the 84 VMs replaced a day.
        """
        for address in set(self._channels) - addresses:
            self._close_gracefully(self._channels.pop(address))

    def _replace_channels(self) -> None:
        """Connect anew with the replaced certificate at the next call of each agent."""
        for channel in self._channels.values():
            self._close_gracefully(channel)
        self._channels.clear()

    def _close_gracefully(self, channel: grpc.aio.Channel) -> None:
        """Close a channel once its streams have ended."""
        task = asyncio.create_task(channel.close(CLOSE_GRACE_SECONDS))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


async def _probe(stub: agent_pb2_grpc.AgentStub, timeout: float) -> bool:
    """Ask the agent for its load; False when no answer comes in time.

    The code is waited for, not the answer: a channel that another call closes cancels
    this one, and its error would be taken for a caller who left.
    """
    with suppress(grpc.aio.UsageError):
        probe = stub.Report(pb.ReportRequest(), timeout=timeout)
        return await probe.code() is grpc.StatusCode.OK
    return False


async def _wait_for_connection(channel: grpc.aio.Channel) -> bool:
    """Wait while the channel connects; False at the first failure from now on.

    A failure that lies in the past says nothing: the agent may have come up since, and
    gRPC is only waiting out its backoff. Taken for an answer it refuses a request as
    overloaded although its only target is idle.
    """
    if channel.get_state() is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
        with suppress(TimeoutError):
            async with asyncio.timeout(RECONNECT_TIMEOUT_SECONDS):
                return await _wait_until_ready(channel, until_failure=False)
        return False
    return await _wait_until_ready(channel, until_failure=True)


async def _wait_until_ready(channel: grpc.aio.Channel, *, until_failure: bool) -> bool:
    """Follow the channel's states to a connection, or to a failure if that counts."""
    state = channel.get_state(try_to_connect=True)
    while state is not grpc.ChannelConnectivity.READY:
        failed = state is grpc.ChannelConnectivity.TRANSIENT_FAILURE
        if (failed and until_failure) or state is grpc.ChannelConnectivity.SHUTDOWN:
            return False
        await channel.wait_for_state_change(state)
        state = channel.get_state(try_to_connect=True)
    return True
