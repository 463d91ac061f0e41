"""Manages gRPC connections to agents: one channel each, opened on first use."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Self

import grpc

from bamboopier_daemon.certificates import Certificates
from bamboopier_daemon.daemon import GRPC_OPTIONS
from bamboopier_protocol import agent_pb2 as pb

from .agent_channel import AgentChannel

if TYPE_CHECKING:
    from types import TracebackType

    from bamboopier_protocol.agent_pb2_grpc import AgentStub

CONNECT_TIMEOUT_SECONDS = 1.0
# Time of one attempt: an agent on a busy VM accepts late, and an unresponsive one
# delays its callers by this time.
ATTEMPT_TIMEOUT_MS = 300
# Longest back-off of gRPC between connection attempts; gRPC varies it by up to a fifth.
MAX_BACKOFF_MS = 200
# Between attempts to connect to an agent that no other agent can replace.
RETRY_INTERVAL_SECONDS = 0.1
CHANNEL_OPTIONS = [
    *GRPC_OPTIONS,
    # gRPC would otherwise resend a call when a connection fails early; whether a
    # request may be repeated is the router's decision.
    ("grpc.enable_retries", 0),
    # Channels would otherwise share their connection attempts, and a new channel would
    # report the failure of an attempt that an earlier one made.
    ("grpc.use_local_subchannel_pool", 1),
    # An agent that was replaced is reconnected within a second.
    ("grpc.initial_reconnect_backoff_ms", 100),
    # Despite its name, the minimum time before an attempt is abandoned.
    ("grpc.min_reconnect_backoff_ms", ATTEMPT_TIMEOUT_MS),
    ("grpc.max_reconnect_backoff_ms", MAX_BACKOFF_MS),
]


class AgentConnections:
    """Provides stubs by address and closes the channels that it opened."""

    def __init__(self, certificates: Certificates | None = None) -> None:
        self._certificates = certificates or Certificates(None)
        self._certificates.subscribe(self._replace_channels)
        self._channels: dict[str, AgentChannel] = {}
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
            await channel.abort()

    async def connect(
        self, address: str, timeout: float = CONNECT_TIMEOUT_SECONDS
    ) -> AgentStub | None:
        """Return a stub once its connection is ready; None when nothing can be sent.

        gRPC reports the same status for a connection that was never established and for
        one that was lost with the request in flight. Waiting for the connection first
        distinguishes them: without it, every non-idempotent call to a dead agent ends
        as "unknown".
        """
        channel = self._find_channel(address)
        if channel.was_ready:
            return channel.make_stub()
        try:
            if await channel.connect(min(timeout, CONNECT_TIMEOUT_SECONDS)):
                return channel.make_stub()
            return None
        finally:
            # Also when the caller has disconnected meanwhile.
            if channel.is_abandoned:
                await self._discard(address, channel)

    async def connect_with_retries(
        self, address: str, timeout: float = CONNECT_TIMEOUT_SECONDS
    ) -> AgentStub | None:
        """Return a stub as ``connect`` does, for a request only this agent can answer.

        gRPC abandons an attempt after ``ATTEMPT_TIMEOUT_MS``, and an agent on a busy VM
        may be stalled for longer. If it counted as gone after one attempt, the
        holder of a claim would never be queried, and its caller would receive "outcome
        unknown" with most of its time remaining. Attempts continue for ``timeout``, a
        second at most.
        """
        limit = time.monotonic() + min(timeout, CONNECT_TIMEOUT_SECONDS)
        while (remaining := limit - time.monotonic()) > 0:
            stub = await self.connect(address, remaining)
            if stub is not None:
                return stub
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        return None

    async def connect_and_probe(self, address: str, timeout: float) -> AgentStub | None:
        """Return a stub once its agent has answered a probe; None when it has not.

        A closed connection counts as ready until gRPC has read its end, and a call
        written to it fails like one in flight: the caller of an order that no agent
        received is told "unknown", and no other agent is tried. A probe that executes
        nothing is therefore sent first and detects such a connection. When the probe
        fails, the request itself was never written, so "not run" stays true even if
        the connection resumes later.
        """
        end = time.monotonic() + min(timeout, CONNECT_TIMEOUT_SECONDS)
        while stub := await self.connect(address, end - time.monotonic()):
            channel = self._channels.get(address)
            if not await _probe(stub, end - time.monotonic()):
                return None
            # A channel that was replaced in the meantime accepts no new calls.
            if channel is not None and self._channels.get(address) is channel:
                return stub
        return None

    async def _discard(self, address: str, channel: AgentChannel) -> None:
        """Close a channel that never had a connection; the next call opens another.

        gRPC keeps reconnecting an open channel five times a second. A gateway with the
        146 targets of a failed data centre would spend several times its processor
        budget on that.
        """
        if self._channels.get(address) is channel:
            del self._channels[address]
            await channel.abort()

    def _find_channel(self, address: str) -> AgentChannel:
        """Return a channel that is ready or has never had a connection."""
        channel = self._channels.get(address)
        if channel is not None and channel.has_lost_connection:
            self._close(self._channels.pop(address))
            channel = None
        if channel is None:
            opened = self._certificates.open_channel(address, CHANNEL_OPTIONS)
            channel = AgentChannel(opened)
            self._channels[address] = channel
        return channel

    def keep_only(self, addresses: set[str]) -> None:
        """Close the channels of other agents, each once its streams have ended.

        The VM list may drop a target that is still responding; aborting its streams
        would leave callers with truncated responses. Never closing the channels would
        leave one open connection for each of the 84 VMs that are replaced per day.
        """
        for address in set(self._channels) - addresses:
            self._close(self._channels.pop(address))

    def _replace_channels(self) -> None:
        """Close all channels, so that the next calls use the replaced certificate."""
        for channel in self._channels.values():
            self._close(channel)
        self._channels.clear()

    def _close(self, channel: AgentChannel) -> None:
        """Close a channel once its streams have ended.

        Another call's failed attempt to connect must not end the streams of an agent
        that is stopping: their callers would receive part of a response.
        """
        task = asyncio.create_task(channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


async def _probe(stub: AgentStub, timeout: float) -> bool:
    """Request the agent's load report; return False when none arrives in time.

    This awaits the status code, not the response: when another call closes the
    channel, this call is cancelled, and awaiting its response would raise the same
    exception as a disconnected caller does.
    """
    with suppress(grpc.aio.UsageError):
        probe = stub.Report(pb.ReportRequest(), timeout=timeout)
        return await probe.code() is grpc.StatusCode.OK
    return False
