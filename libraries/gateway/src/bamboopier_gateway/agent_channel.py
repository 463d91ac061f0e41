"""A gRPC channel to one agent: waits for its connection, and closes after its calls."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import grpc

from bamboopier_protocol import agent_pb2_grpc

# Long enough for a new attempt after an earlier failure: a refused connection delays
# one caller by this time, and the router then skips the target.
RECONNECT_TIMEOUT_SECONDS = 0.3
# A stream may outlive its target's entry in the VM list, or its channel's certificate,
# by this long: a week, which is the longest timeout a service may have.
CLOSE_GRACE_SECONDS = 7 * 86_400.0


class AgentChannel:
    """A channel for one connection to an agent; it is not used for a second one."""

    __slots__ = ("_channel", "_waiting", "was_ready")

    def __init__(self, channel: grpc.aio.Channel) -> None:
        self._channel = channel
        # Number of callers in ``connect``.
        self._waiting = 0
        # Set once it has had its connection; it is not asked to connect after that.
        self.was_ready = False

    @property
    def is_ready(self) -> bool:
        """Return whether the channel has a connection that accepts calls."""
        return self._channel.get_state() is grpc.ChannelConnectivity.READY

    @property
    def has_lost_connection(self) -> bool:
        """Return whether the channel was ready and accepts no more calls.

        An agent that stops completes the streams of its connection. A call on the same
        channel would make gRPC reconnect, over and over while those streams last.
        """
        return self.was_ready and not self.is_ready

    @property
    def is_abandoned(self) -> bool:
        """Return whether it never had a connection, and no caller waits for one."""
        return self._waiting == 0 and not self.was_ready

    def make_stub(self) -> agent_pb2_grpc.AgentStub:
        """Return a stub for calls on this channel."""
        return agent_pb2_grpc.AgentStub(self._channel)

    async def connect(self, timeout: float) -> bool:
        """Wait for the connection; return False if there is none after ``timeout``.

        Callers that wait at the same time share one attempt.
        """
        self._waiting += 1
        try:
            with suppress(TimeoutError, grpc.aio.UsageError):
                async with asyncio.timeout(timeout):
                    return await self._wait_for_connection()
        finally:
            self._waiting -= 1
        return False

    async def close(self) -> None:
        """Accept no more calls, and close once the running ones have ended."""
        await self._channel.close(CLOSE_GRACE_SECONDS)

    async def abort(self) -> None:
        """Cancel the running calls and close."""
        await self._channel.close(None)

    async def _wait_for_connection(self) -> bool:
        """Wait while the channel connects; return False at the first new failure.

        A failure from before this call is not conclusive: the agent may have started
        since, and gRPC may only be waiting for the end of its back-off. If it counted,
        a request would be refused as overloaded although its only target is idle.
        """
        if self._channel.get_state() is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
            with suppress(TimeoutError):
                async with asyncio.timeout(RECONNECT_TIMEOUT_SECONDS):
                    return await self._wait_until_ready(until_failure=False)
            return False
        return await self._wait_until_ready(until_failure=True)

    async def _wait_until_ready(self, *, until_failure: bool) -> bool:
        """Wait for a connection, or for a failure if ``until_failure``."""
        while not self.was_ready:
            state = self._channel.get_state(try_to_connect=True)
            if state is grpc.ChannelConnectivity.READY:
                self.was_ready = True
                return True
            failed = state is grpc.ChannelConnectivity.TRANSIENT_FAILURE
            if (failed and until_failure) or state is grpc.ChannelConnectivity.SHUTDOWN:
                return False
            await self._channel.wait_for_state_change(state)
        return self.is_ready
