"""The load that the measurements generate, and the counters that they read."""

from __future__ import annotations

import asyncio
import concurrent.futures
import hashlib
import json
import time
import urllib.request
from pathlib import Path
from typing import Any

import msgspec
from processes import Installation, fetch

from bamboopier_configuration.collection import collect, find_files
from bamboopier_configuration.model import Configuration, Workspace
from bamboopier_objects.http_platform import HttpPlatform
from bamboopier_objects.publisher import Publisher

from .usage import read_cpu

EXAMPLES = Path(__file__).resolve().parent.parent.parent / "examples"
IDLE_SECONDS = 8.0
FOSSE_KEY = "fosse-demo-key"
CALLERS = 8
# Time between two changes, in which a gateway has read the first.
CHANGE_SECONDS = 0.4


def send_prompts(installation: Installation, count: int, tokens: int) -> None:
    """Send ``count`` streamed completions from ``CALLERS`` concurrent callers."""
    body = {"model": "pillar-8b", "prompt": "is it live?", "max_tokens": tokens}
    url = installation.gateways["gateway-1"] + "/v1/completions"
    _call_many(url, {**body, "stream": True}, count, {})


def send_dispatches(installation: Installation, count: int) -> None:
    """Send ``count`` dispatches, each with its own idempotency key."""
    url = installation.gateways["gateway-1"] + "/services/dispatch/vans"
    _call_many(url, {"pillar": "M6"}, count, {"Idempotency-Key": ""})


def _call_many(url: str, body: object, count: int, headers: dict[str, str]) -> None:
    data = json.dumps(body).encode()

    def call(number: int) -> None:
        request = urllib.request.Request(url, data=data)
        request.add_header("Authorization", f"Bearer {FOSSE_KEY}")
        request.add_header("Content-Type", "application/json")
        for name in headers:
            request.add_header(name, f"{time.monotonic_ns()}-{number}")
        with urllib.request.urlopen(request, timeout=60) as response:
            response.read()

    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        list(pool.map(call, range(count)))


def start_one_target(installation: Installation, **options: Any) -> None:
    """Start one engine with its agent and a gateway, with an example configuration."""
    installation.start_platform()
    options = {"block_tokens": 2000, **options}
    installation.start_target("desk-1", "engine", "fault-desk", "dc-east", **options)
    installation.start_gateway("gateway-1", "dc-east")
    files = find_files([EXAMPLES / "fosse"])
    configuration = collect(files).unwrap()
    asyncio.run(publish(installation.platform_url, [configuration]))
    installation.wait_until_ready()
    time.sleep(2.0)


def build_configuration(workspaces: int) -> Configuration:
    """Return the example configuration with many workspaces."""
    configuration = collect(find_files([EXAMPLES / "fosse"])).unwrap()
    many = [_build_workspace(number) for number in range(workspaces)]
    return msgspec.structs.replace(configuration, workspaces=many)


def _build_workspace(number: int) -> Workspace:
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    return Workspace(f"workspace-{number}", [digest], ["fault-desk", "dispatch"])


def build_vm(number: int) -> dict[str, Any]:
    """Return the entry of an unreachable VM, with a loopback address."""
    return {
        "name": f"vm-{number}",
        "role": "target" if number % 3 else "gateway",
        "group": "fault-desk",
        "data_centre": f"dc-{number % 5}",
        "region": "midlands",
        "address": f"127.9.{number // 250}.{number % 250 + 1}:7001",
        "state": "live",
    }


async def publish(platform_url: str, steps: list[Configuration]) -> None:
    """Publish each step as a generation, after a single read."""
    async with HttpPlatform(platform_url) as objects:
        store = Publisher(objects)
        base = (await store.read()).unwrap()
        for step in steps:
            name = str(time.monotonic_ns())
            base = (await store.publish(base, step, name)).unwrap()
            await asyncio.sleep(CHANGE_SECONDS)


def measure_idle_cpu(pid: int) -> float:
    """Return the cores that a process uses without any requests."""
    before = read_cpu(pid)
    time.sleep(IDLE_SECONDS)
    return (read_cpu(pid) - before) / IDLE_SECONDS


def read_calls(installation: Installation) -> dict[str, int]:
    """Return the number and the bytes of the platform's calls so far, by kind."""
    return dict(json.loads(fetch(f"{installation.platform_url}/calls")))


def count_calls(before: dict[str, int], after: dict[str, int], kind: str) -> float:
    """Return the increase of one counter between two readings."""
    return float(after.get(kind, 0) - before.get(kind, 0))


def count_object_reads(before: dict[str, int], after: dict[str, int]) -> float:
    """Return the number of object reads between two readings."""
    return count_calls(before, after, "GET objects")
