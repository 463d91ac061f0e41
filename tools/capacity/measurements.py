"""Measures each slope with real daemons and stand-ins of their surroundings."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from processes import Installation

from .fit import Fit, fit_line
from .usage import read_cpu, read_memory
from .workload import (
    IDLE_SECONDS,
    build_configuration,
    build_vm,
    count_calls,
    count_object_reads,
    measure_idle_cpu,
    publish,
    read_calls,
    send_dispatches,
    send_prompts,
    start_one_target,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bamboopier_configuration.model import Configuration

CONNECTIONS = Path(__file__).parent / "connections.py"
SETTLE_SECONDS = 1.0
CHANGES = 10
# Changes per measurement with many nodes.
PROPAGATED = 3


@contextmanager
def start_helper(*arguments: str) -> Iterator[tuple[subprocess.Popen[str], str]]:
    """Run ``connections.py``; yield the process and its first line."""
    process = subprocess.Popen(
        [sys.executable, str(CONNECTIONS), *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None and process.stdin is not None
    try:
        yield process, process.stdout.readline().strip()
    finally:
        process.stdin.close()
        process.wait(30)


def measure_gateway_channels() -> list[Fit]:
    """Memory and idle processor time of a gateway's channels to many agents."""
    memory, cpu = [], []
    with start_helper("serve", "400") as (_, line):
        ports = line.split()
        for count in (50, 100, 200, 400):
            with start_helper("gateway", *ports[:count]) as (process, _):
                time.sleep(SETTLE_SECONDS)
                memory.append((float(count), read_memory(process.pid)))
                cpu.append((float(count), measure_idle_cpu(process.pid)))
    return [
        fit_line("gateway memory per agent channel", "MB", memory),
        fit_line("gateway idle CPU per agent channel", "core", cpu),
    ]


def measure_agent_connections() -> list[Fit]:
    """Memory and idle processor time of an agent with many gateways connected."""
    memory, cpu = [], []
    for count in (40, 80, 160, 320):
        with Installation() as installation:
            start_one_target(installation)
            agent = installation.daemons["desk-1-agent"]
            address = installation.vms[0]["address"]
            with start_helper("hold", address, str(count)):
                time.sleep(SETTLE_SECONDS)
                memory.append((float(count), read_memory(agent.process.pid)))
                cpu.append((float(count), measure_idle_cpu(agent.process.pid)))
            installation.stop_all()
    return [
        fit_line("agent memory per gateway connection", "MB", memory),
        fit_line("agent idle CPU per gateway connection", "core", cpu),
    ]


def measure_workspaces() -> list[Fit]:
    """Cost to a gateway of the configuration and of each change to it."""
    memory, cpu, size, calls, start_calls = [], [], [], [], []
    for count in (400, 1600, 3200, 6300):
        with Installation() as installation:
            installation.start_platform()
            base = build_configuration(count)
            asyncio.run(publish(installation.platform_url, [base]))
            before = read_calls(installation)
            installation.start_gateway("gateway-1", "dc-east")
            installation.wait_until_ready()
            time.sleep(SETTLE_SECONDS)
            started = count_object_reads(before, read_calls(installation))
            gateway = installation.daemons["gateway-1"].process.pid
            memory.append((float(count), read_memory(gateway)))
            start_calls.append((float(count), started))
            change = _measure_changes(installation, base, gateway)
            cpu.append((float(count), change.cpu))
            size.append((float(count), change.size / 1e3))
            calls.append((float(count), change.calls))
            installation.stop_all()
    return [
        fit_line("gateway memory per workspace", "MB", memory),
        fit_line("gateway CPU per change, by workspaces", "s", cpu),
        fit_line("gateway bytes per change, by workspaces", "KB", size),
        fit_line("gateway calls per change, by workspaces", "calls", calls),
        fit_line(
            "object reads of a starting node, by workspaces", "calls", start_calls
        ),
    ]


class _ChangeCost:
    """Mean cost of one configuration change to one node."""

    def __init__(self, cpu: float, size: float, calls: float) -> None:
        self.cpu = cpu
        self.size = size
        self.calls = calls


def _measure_changes(
    installation: Installation, base: Configuration, pid: int
) -> _ChangeCost:
    """Return the mean cost of one change to a gateway.

    The publisher itself reads everything once. The same call without changes measures
    these reads first, and they are subtracted.
    """
    baseline = _publish_changes(installation, base, [])
    cost = _publish_changes(installation, base, list(range(1, CHANGES + 1)), pid)
    reads = (cost.calls - baseline.calls) / CHANGES
    return _ChangeCost(cost.cpu / CHANGES, (cost.size - baseline.size) / CHANGES, reads)


def _publish_changes(
    installation: Installation,
    base: Configuration,
    weights: list[int],
    pid: int | None = None,
) -> _ChangeCost:
    """Return the total cost of publishing one change for each of ``weights``."""
    before = read_calls(installation)
    cpu = read_cpu(pid) if pid is not None else 0.0
    steps = []
    for weight in weights:
        changed = list(base.workspaces)
        changed[weight] = msgspec.structs.replace(changed[weight], weight=weight + 1.0)
        base = msgspec.structs.replace(base, workspaces=changed)
        steps.append(base)
    asyncio.run(publish(installation.platform_url, steps))
    after = read_calls(installation)
    used = read_cpu(pid) - cpu if pid is not None else 0.0
    calls = count_object_reads(before, after) + count_calls(before, after, "GET watch")
    return _ChangeCost(used, count_calls(before, after, "bytes GET objects"), calls)


def measure_blocks() -> list[Fit]:
    """Memory of an agent's index of resident blocks."""
    memory = []
    for count in (8_000, 16_000, 32_000, 64_000):
        completed = subprocess.run(
            [sys.executable, "-m", "capacity.blocks", str(count)],
            capture_output=True,
            text=True,
            check=True,
        )
        memory.append((float(count), float(completed.stdout)))
    return [fit_line("agent memory per believed block", "MB", memory)]


def measure_propagation() -> list[Fit]:
    """Seconds until a change is in force at all nodes, and calls to the platform."""
    seconds, calls = [], []
    for count in (50, 100, 200, 400):
        with Installation() as installation:
            installation.start_platform()
            base = build_configuration(400)
            asyncio.run(publish(installation.platform_url, [base]))
            baseline = _run_followers(installation, count, 0)
            measured = _run_followers(installation, count, PROPAGATED)
            worst = max(measured.seconds)
            seconds.append((float(count), worst))
            calls.append((float(count), (measured.calls - baseline.calls) / PROPAGATED))
            installation.stop_all()
    return [
        fit_line("worst seconds to all nodes, by nodes", "s", seconds),
        fit_line("platform reads per change, by nodes", "calls", calls),
    ]


class _Propagation:
    """Seconds until each change was in force, and the calls that it cost."""

    def __init__(self, seconds: list[float], calls: float) -> None:
        self.seconds = seconds
        self.calls = calls


def _run_followers(
    installation: Installation, count: int, changes: int
) -> _Propagation:
    before = read_calls(installation)
    arguments = [installation.platform_url, str(count), str(changes)]
    completed = subprocess.run(
        [sys.executable, "-m", "capacity.followers", *arguments],
        capture_output=True,
        text=True,
        check=True,
        timeout=300,
    )
    after = read_calls(installation)
    reads = count_object_reads(before, after) + count_calls(before, after, "GET watch")
    return _Propagation(json.loads(completed.stdout), reads)


def measure_vm_list() -> list[Fit]:
    """Cost to a gateway of following the VM list."""
    cpu, size = [], []
    for count in (200, 400, 800, 1200):
        with Installation() as installation:
            installation.start_platform()
            asyncio.run(publish(installation.platform_url, [build_configuration(10)]))
            installation.vms = [build_vm(number) for number in range(count)]
            installation.put_vms()
            installation.start_gateway("gateway-1", "dc-east")
            installation.wait_until_ready()
            gateway = installation.daemons["gateway-1"].process.pid
            before = read_calls(installation)
            cpu.append((float(count), measure_idle_cpu(gateway)))
            transferred = count_calls(before, read_calls(installation), "bytes GET vms")
            size.append((float(count), transferred / IDLE_SECONDS / 1e3))
            installation.stop_all()
    return [
        fit_line("gateway idle CPU by listed VMs", "core", cpu),
        fit_line("gateway VM list traffic by listed VMs", "KB/s", size),
    ]


def measure_requests() -> list[Fit]:
    """Processor time of gateway and agent per request and per generated token."""
    fits: list[Fit] = []
    with Installation() as installation:
        start_one_target(installation, decode_rate=5000, slots=64)
        pids = {
            "gateway": installation.daemons["gateway-1"].process.pid,
            "agent": installation.daemons["desk-1-agent"].process.pid,
        }
        send_prompts(installation, 50, 1)
        by_requests: dict[str, list[tuple[float, float]]] = {n: [] for n in pids}
        for count in (100, 200, 400, 800):
            for name, used in _measure_load(installation, pids, count, 1).items():
                by_requests[name].append((float(count), used * 1e3))
        by_tokens: dict[str, list[tuple[float, float]]] = {n: [] for n in pids}
        for tokens in (16, 64, 128, 256):
            for name, used in _measure_load(installation, pids, 50, tokens).items():
                by_tokens[name].append((50.0 * tokens, used * 1e3))
        for name in pids:
            fits.append(fit_line(f"{name} CPU per request", "ms", by_requests[name]))
            fits.append(fit_line(f"{name} CPU per token", "ms", by_tokens[name]))
        installation.stop_all()
    return fits


def measure_claims() -> list[Fit]:
    """Platform writes and bytes per claim of an idempotency key."""
    writes, size = [], []
    with Installation() as installation:
        start_one_target(installation)
        installation.start_target("vans-1", "plain", "dispatch", "dc-east")
        installation.wait_until_ready()
        time.sleep(2.0)
        for count in (50, 100, 200, 400):
            before = read_calls(installation)
            send_dispatches(installation, count)
            after = read_calls(installation)
            writes.append((float(count), count_calls(before, after, "PUT objects")))
            transferred = count_calls(before, after, "bytes PUT objects")
            size.append((float(count), transferred / 1e3))
        installation.stop_all()
    return [
        fit_line("platform writes per claim, 8 callers", "calls", writes),
        fit_line("bytes written per claim, 8 callers", "KB", size),
    ]


def _measure_load(
    installation: Installation, pids: dict[str, int], count: int, tokens: int
) -> dict[str, float]:
    before = {name: read_cpu(pid) for name, pid in pids.items()}
    send_prompts(installation, count, tokens)
    return {name: read_cpu(pid) - before[name] for name, pid in pids.items()}
