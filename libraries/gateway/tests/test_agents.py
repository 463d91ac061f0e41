"""Reaching an agent that was away a moment ago."""

from __future__ import annotations

import socket
import unittest

import grpc

from bamboopier_gateway.agents import Agents

HOST = "127.0.0.1"


class AgentsTests(unittest.IsolatedAsyncioTestCase):
    async def test_an_agent_that_came_back_is_reached_by_the_next_request(self) -> None:
        # A target's agent is restarted. The gateway has just failed to reach it and
        # waits before it tries again; a caller's request that arrives in that moment
        # was refused although the agent was up.
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            address = f"{HOST}:{probe.getsockname()[1]}"
        async with Agents() as agents:
            self.assertIsNone(await agents.reach(address))
            server = grpc.aio.server()
            server.add_insecure_port(address)
            await server.start()
            self.addAsyncCleanup(server.stop, None)
            self.assertIsNotNone(await agents.reach(address))
