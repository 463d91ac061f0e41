"""Tests of a channel whose connection is lost between two reads of its state."""

from __future__ import annotations

import asyncio
import unittest
from typing import Any
from unittest import mock

from grpc import ChannelConnectivity

from bamboopier_daemon.certificates import Certificates
from bamboopier_gateway.agent_connections import AgentConnections

ADDRESS = "127.0.0.1:1"


class FakeChannel:
    """A channel that connects at once, and then loses its connection."""

    def __init__(self, reads_before_loss: int) -> None:
        # Reads of the state that find it ready.
        self._reads_before_loss = reads_before_loss
        self._state = ChannelConnectivity.CONNECTING
        self.attempts = 0

    def get_state(self, try_to_connect: bool = False) -> ChannelConnectivity:
        if self._state is ChannelConnectivity.READY:
            if self._reads_before_loss == 0:
                self._state = ChannelConnectivity.IDLE
            self._reads_before_loss -= 1
        if self._state is ChannelConnectivity.IDLE and try_to_connect:
            self.attempts += 1
            self._state = ChannelConnectivity.TRANSIENT_FAILURE
        return self._state

    async def wait_for_state_change(self, last: ChannelConnectivity) -> None:
        while self._state is last:
            await asyncio.sleep(0)
            self._state = ChannelConnectivity.READY

    async def close(self, grace: float | None = None) -> None:
        self._state = ChannelConnectivity.SHUTDOWN

    def unary_unary(self, *_: Any, **__: Any) -> None:
        """Accept the creation of a stub."""

    unary_stream = unary_unary


class AgentChannelTests(unittest.IsolatedAsyncioTestCase):
    async def count_attempts(self, reads: int, callers: int) -> int:
        """Return how often a channel was reconnected that lost its connection."""
        channel = FakeChannel(reads)
        certificates = mock.create_autospec(Certificates, instance=True)
        certificates.open_channel.side_effect = [channel, *map(FakeChannel, [99] * 20)]
        agents = AgentConnections(certificates)
        for _ in range(4):
            await asyncio.gather(*(agents.connect(ADDRESS) for _ in range(callers)))
        return channel.attempts

    async def test_a_connection_lost_during_connect_is_not_made_again(self) -> None:
        # Guards against connection attempts without a request, five a second while the
        # streams of a stopping agent last, when its GOAWAY arrives during a connect.
        for callers in (1, 2, 3):
            for reads in range(1, 8):
                with self.subTest(callers=callers, reads=reads):
                    self.assertEqual(await self.count_attempts(reads, callers), 0)


if __name__ == "__main__":
    unittest.main()
