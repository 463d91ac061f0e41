"""Keeps many gRPC connections open, as gateways and agents do at the design size.

``serve N`` responds to load report requests on N ports. ``hold ADDRESS N`` keeps N
connections to one agent. ``gateway PORT ...`` opens the channels of a gateway. Each
command prints one line when it is ready, and then waits for the end of its standard
input.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import fire
import grpc

from bamboopier_daemon.daemon import GRPC_OPTIONS
from bamboopier_gateway.agent_connections import AgentConnections
from bamboopier_protocol import agent_pb2 as pb, agent_pb2_grpc

HOST = "127.0.0.1"


class _Reporter(agent_pb2_grpc.AgentServicer):
    """Responds to load report requests only."""

    async def Report(self, request: pb.ReportRequest, context: Any) -> pb.LoadReport:  # noqa: N802
        """Return an idle target's report."""
        return pb.LoadReport(target="idle", limit=8, accepting=True)


async def _wait_for_input_end() -> None:
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


async def _serve(count: int) -> None:
    servers = []
    ports = []
    for _ in range(count):
        server = grpc.aio.server(options=GRPC_OPTIONS)
        agent_pb2_grpc.add_AgentServicer_to_server(_Reporter(), server)
        ports.append(server.add_insecure_port(f"{HOST}:0"))
        await server.start()
        servers.append(server)
    print(" ".join(map(str, ports)), flush=True)
    await _wait_for_input_end()
    for server in servers:
        await server.stop(None)


async def _hold(address: str, count: int) -> None:
    options = [*GRPC_OPTIONS, ("grpc.use_local_subchannel_pool", 1)]
    channels = [grpc.aio.insecure_channel(address, options) for _ in range(count)]
    for channel in channels:
        stub = agent_pb2_grpc.AgentStub(channel)
        await stub.Report(pb.ReportRequest())
    print("ready", flush=True)
    await _wait_for_input_end()
    for channel in channels:
        await channel.close(None)


async def _open_as_gateway(ports: tuple[int, ...]) -> None:
    async with AgentConnections() as agents:
        for port in ports:
            stub = await agents.connect(f"{HOST}:{port}")
            if stub is None:
                raise ConnectionError(f"no agent at port {port}")
            await stub.Report(pb.ReportRequest())
        print("ready", flush=True)
        await _wait_for_input_end()


class Commands:
    """The commands of this helper process."""

    def serve(self, count: int) -> None:
        """Respond to load report requests on ``count`` ports."""
        asyncio.run(_serve(count))

    def hold(self, address: str, count: int) -> None:
        """Keep ``count`` connections to the agent at ``address``."""
        asyncio.run(_hold(address, count))

    def gateway(self, *ports: int) -> None:
        """Open the gateway's channels to agents at ``ports``."""
        asyncio.run(_open_as_gateway(ports))


if __name__ == "__main__":
    fire.Fire(Commands)
