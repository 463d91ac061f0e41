"""Reads the status of listed gateways and agents directly from each of them.

Nodes do not write their status to the platform: 1,070 nodes after each of 2,300 changes
a day would be 28 writes a second. A command reads the VM list once and then sends a
request to each node, a bounded number at a time.
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
    """Status that a gateway or target reported, or its list entry if unreachable."""

    name: str
    role: Literal["gateway", "target"]
    data_centre: str
    service: str
    listed: Literal["live", "leaving"]
    reachable: bool = False
    generation: int = 0
    # Whether the node accepts new requests.
    accepting: bool = False
    weight_version: str = ""
    running: int = 0
    waiting: int = 0
    limit: int = 0


async def list_nodes(vms: VmListSource) -> list[Vm]:
    """Return the listed gateways and targets; end the command without a list."""
    result = await vms.list_vms()
    if isinstance(result, Err):
        raise CommandError(f"no VM list: {result.err_value}")
    return [vm for vm in result.ok_value if vm.role != "store"]


async def read_node_statuses(nodes: Sequence[Vm]) -> list[NodeStatus]:
    """Return the status of each node, in the order of ``nodes``."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
    timeout = aiohttp.ClientTimeout(total=RESPONSE_TIMEOUT_SECONDS)
    connector = aiohttp.TCPConnector(
        ssl=read_certificates().make_client_context() or True
    )
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:

        async def read_status(vm: Vm) -> NodeStatus:
            async with semaphore:
                if vm.role == "gateway":
                    return await _read_gateway_status(session, vm)
                return await _read_agent_status(vm)

        return list(await asyncio.gather(*(read_status(vm) for vm in nodes)))


async def wait_for_generation(
    nodes: Sequence[Vm], generation: int, timeout: float
) -> list[NodeStatus]:
    """Poll until all nodes have ``generation`` or a higher one in force.

    Return those that do not after ``timeout`` seconds. An unreachable node is among
    them, because its generation is not known.
    """
    deadline = time.monotonic() + timeout
    remaining = list(nodes)
    while True:
        statuses = await read_node_statuses(remaining)
        behind = [status for status in statuses if status.generation < generation]
        if not behind or time.monotonic() >= deadline:
            return behind
        names = {status.name for status in behind}
        remaining = [vm for vm in remaining if vm.name in names]
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
            report = msgspec.json.decode(await response.read(), type=GatewayStatus)
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
        return status
    return msgspec.structs.replace(
        status,
        reachable=True,
        generation=report.generation,
        accepting=report.ready,
        running=report.open_requests,
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
