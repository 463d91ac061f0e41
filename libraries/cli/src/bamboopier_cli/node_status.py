"""Asks every listed gateway and agent directly what it has in force.

Nodes write nothing to the platform to say so: 1,070 nodes after each of 2,300 changes a
day would be 28 writes a second. Whoever wants to know asks them, a bounded number at
once, for one read of the VM list.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Literal

import aiohttp
import grpc
import msgspec
from result import Err

from bamboopier_gateway.status import GatewayStatus
from bamboopier_protocol import agent_pb2 as pb, agent_pb2_grpc

from .credentials import read_certificates
from .exit_codes import CommandError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bamboopier_objects.vms import Vm, VmListSource

MAX_CONCURRENT_REQUESTS = 64
RESPONSE_TIMEOUT_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 0.5


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One gateway or target as it answered, or as listed if it did not."""

    name: str
    role: Literal["gateway", "target"]
    data_centre: str
    service: str
    listed: Literal["live", "leaving"]
    reachable: bool = False
    generation: int = 0
    # Whether new work is taken here.
    accepting: bool = False
    weight_version: str = ""
    running: int = 0
    waiting: int = 0
    limit: int = 0


async def list_nodes(vms: VmListSource) -> list[Vm]:
    """Return the listed gateways and targets."""
    answer = await vms.list_vms()
    if isinstance(answer, Err):
        raise CommandError(f"no VM list: {answer.err_value}")
    return [vm for vm in answer.ok_value if vm.role != "store"]


async def read_node_statuses(nodes: Sequence[Vm]) -> list[NodeStatus]:
    """Return the status of each node in the order given."""
    gate = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_SECONDS)
    connector = aiohttp.TCPConnector(
        ssl=read_certificates().make_client_context() or True
    )
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:

        async def ask(vm: Vm) -> NodeStatus:
            async with gate:
                if vm.role == "gateway":
                    return await _read_gateway_status(session, vm)
                return await _read_agent_status(vm)

        return list(await asyncio.gather(*(ask(vm) for vm in nodes)))


async def wait_for_generation(
    nodes: Sequence[Vm], generation: int, timeout: float
) -> list[NodeStatus]:
    """Ask until all nodes have ``generation`` or a higher one.

    Returns those that do not after ``timeout`` seconds; a node that cannot be reached
    is one of them, since nobody can say what it does.
    """
    limit = time.monotonic() + timeout
    left = list(nodes)
    while True:
        statuses = await read_node_statuses(left)
        behind = [status for status in statuses if status.generation < generation]
        if not behind or time.monotonic() >= limit:
            return behind
        names = {status.name for status in behind}
        left = [vm for vm in left if vm.name in names]
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


def _make_unreachable_status(vm: Vm) -> NodeStatus:
    return NodeStatus(
        name=vm.name,
        role="gateway" if vm.role == "gateway" else "target",
        data_centre=vm.data_centre,
        service=vm.group,
        listed=vm.state,
    )


async def _read_gateway_status(session: aiohttp.ClientSession, vm: Vm) -> NodeStatus:
    status = _make_unreachable_status(vm)
    try:
        scheme = "https" if read_certificates().is_enabled else "http"
        async with session.get(f"{scheme}://{vm.address}/v1/status") as response:
            found = msgspec.json.decode(await response.read(), type=GatewayStatus)
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
        return status
    return msgspec.structs.replace(
        status,
        reachable=True,
        generation=found.generation,
        accepting=found.ready,
        running=found.open_requests,
    )


async def _read_agent_status(vm: Vm) -> NodeStatus:
    status = _make_unreachable_status(vm)
    async with read_certificates().open_channel(vm.address) as channel:
        stub = agent_pb2_grpc.AgentStub(channel)
        try:
            report = await stub.Report(
                pb.ReportRequest(), timeout=RESPONSE_TIMEOUT_SECONDS
            )
        except grpc.aio.AioRpcError:
            return status
    return msgspec.structs.replace(
        status,
        reachable=True,
        generation=report.generation,
        accepting=report.accepting,
        weight_version=report.weight_version,
        running=report.running,
        waiting=report.waiting,
        limit=report.limit,
    )
