"""Manages gRPC connections to agents: one channel each, opened on first use."""

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
# Longest back-off of gRPC between connection attempts; gRPC varies it by up to a fifth.
MAX_BACKOFF_MS = 200
# Long enough for a new attempt after an earlier failure: a refused connection delays
# one caller by this time, and the router then skips the target.
RECONNECT_TIMEOUT_SECONDS = 0.3
# Between attempts to connect to an agent that no other agent can replace.
RETRY_INTERVAL_SECONDS = 0.1
CHANNEL_OPTIONS = [
    *GRPC_OPTIONS,
    # gRPC would otherwise resend a call when a connection fails early; whether a
    # request may be repeated is the router's decision.
    ("grpc.enable_retries", 0),
    # An agent that was replaced is reconnected within a second.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", MAX_BACKOFF_MS),
]

# A stream may outlive its target's entry in the VM list, or its channel's certificate,
# by this long: a week, which is the longest timeout a service may have.
CLOSE_GRACE_SECONDS = 7 * 86_400.0


class AgentConnections:
    """Provides stubs by address and closes the channels that it opened."""

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
        """Return a stub once its connection is ready; None when nothing can be sent.

        gRPC reports the same status for a connection that was never established and for
        one that was lost with the request in flight. Waiting for the connection first
        distinguishes them: without it, every non-idempotent call to a dead agent ends
        as "unknown".
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
        """Return a stub as ``connect`` does, for a request only this agent can answer.

        gRPC abandons an attempt after a tenth of a second, and an agent on a busy VM
        may be stalled for that long. If it counted as gone after one attempt, the
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

    async def connect_and_probe(
        self, address: str, timeout: float
    ) -> agent_pb2_grpc.AgentStub | None:
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

    async def _discard(self, address: str, channel: grpc.aio.Channel) -> None:
        """Close a channel that has no connection; the next call opens another.

        gRPC keeps reconnecting an open channel five times a second. A gateway with the
        146 targets of a failed data centre would spend several times its processor
        budget on that.
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
        """Close the channels of other agents, each once its streams have ended.

        The VM list may drop a target that is still responding; aborting its streams
        would leave callers with truncated responses. Never closing the channels would
        leave one open connection for each of the 84 VMs that are replaced per day.
        """
        for address in set(self._channels) - addresses:
            self._close_gracefully(self._channels.pop(address))

    def _replace_channels(self) -> None:
        """Close all channels, so that the next calls use the replaced certificate."""
        for channel in self._channels.values():
            self._close_gracefully(channel)
        self._channels.clear()

    def _close_gracefully(self, channel: grpc.aio.Channel) -> None:
        """Close a channel once its streams have ended."""
        task = asyncio.create_task(channel.close(CLOSE_GRACE_SECONDS))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


async def _probe(stub: agent_pb2_grpc.AgentStub, timeout: float) -> bool:
    """Request the agent's load report; return False when none arrives in time.

    This awaits the status code, not the response: when another call closes the
    channel, this call is cancelled, and awaiting its response would raise the same
    exception as a disconnected caller does.
    """
    with suppress(grpc.aio.UsageError):
        probe = stub.Report(pb.ReportRequest(), timeout=timeout)
        return await probe.code() is grpc.StatusCode.OK
    return False


async def _wait_for_connection(channel: grpc.aio.Channel) -> bool:
    """Wait while the channel connects; return False at the first new failure.

    A failure from before this call is not conclusive: the agent may have started since,
    and gRPC may only be waiting for the end of its back-off. If it counted, a request
    would be refused as overloaded although its only target is idle.
    """
    if channel.get_state() is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
        with suppress(TimeoutError):
            async with asyncio.timeout(RECONNECT_TIMEOUT_SECONDS):
                return await _wait_until_ready(channel, until_failure=False)
        return False
    return await _wait_until_ready(channel, until_failure=True)


async def _wait_until_ready(channel: grpc.aio.Channel, *, until_failure: bool) -> bool:
    """Wait for a connection, or for a failure if ``until_failure``."""
    state = channel.get_state(try_to_connect=True)
    while state is not grpc.ChannelConnectivity.READY:
        failed = state is grpc.ChannelConnectivity.TRANSIENT_FAILURE
        if (failed and until_failure) or state is grpc.ChannelConnectivity.SHUTDOWN:
            return False
        await channel.wait_for_state_change(state)
        state = channel.get_state(try_to_connect=True)
    return True
