"""Measures the platform writes a second that claims cost, for one to eight agents.

Each agent is a ``ClaimTable`` that calls the same platform stand-in over HTTP; all run
in this process. Claims arrive at a fixed rate, as those of callers do. Prints one line
for each number of agents, for ``docs/design/claims.md``.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from contextlib import AsyncExitStack

import fire
import msgspec
from aiohttp.test_utils import TestServer
from result import Ok

from bamboopier_agent import claims
from bamboopier_agent.claims import ClaimTable
from bamboopier_configuration.model import Service
from bamboopier_decisions.claims.table import ClaimStatus
from bamboopier_objects.http_platform import HttpPlatform
from bamboopier_standins.platform import PlatformStandIn

DISPATCH = Service(name="dispatch", kind="plain")
AGENTS = (1, 2, 4, 8)


class Result(msgspec.Struct):
    """One measurement; ``p50`` and ``p95`` are seconds until a claim was answered."""

    agents: int
    partitions: int
    claims: int
    granted: int
    claims_per_second: float
    writes: int
    reads: int
    bytes_per_claim: float
    p50: float
    p95: float


async def measure(agents: int, partitions: int, rate: float, seconds: float) -> Result:
    """Measure ``agents`` that together claim ``rate`` keys a second."""
    claims.PARTITIONS = partitions
    platform = PlatformStandIn()
    count = int(rate * seconds)
    times: list[float] = []
    async with AsyncExitStack() as stack:
        server = TestServer(platform.make_application())
        await stack.enter_async_context(server)
        tables = []
        for number in range(agents):
            client = await stack.enter_async_context(
                HttpPlatform(str(server.make_url("/")))
            )
            tables.append(ClaimTable(client, f"10.0.{number}.1:7000"))
        started = time.monotonic()

        async def claim(number: int) -> bool:
            await asyncio.sleep(max(0, started + number / rate - time.monotonic()))
            claimed_at = time.monotonic()
            table = tables[number % agents]
            response = await table.claim(DISPATCH, "fosse", f"key-{number}", b"f" * 16)
            times.append(time.monotonic() - claimed_at)
            return isinstance(response, Ok) and (
                response.ok_value.status is ClaimStatus.GRANTED
            )

        granted = sum(await asyncio.gather(*(claim(n) for n in range(count))))
        elapsed = time.monotonic() - started
    stored = sum(len(value) for _, value in platform.objects.values())
    quantiles = statistics.quantiles(times, n=20)
    return Result(
        agents,
        partitions,
        count,
        granted,
        granted / elapsed,
        platform.calls["PUT objects"],
        platform.calls["GET objects"],
        stored / max(1, granted),
        statistics.median(times),
        quantiles[-1],
    )


async def run(rate: float, seconds: float) -> None:
    """Print one line for each number of agents and of partitions."""
    for partitions in (64, 4096):
        for agents in AGENTS:
            print(
                msgspec.json.encode(
                    await measure(agents, partitions, rate, seconds)
                ).decode()
            )


def main(rate: float = 150.0, seconds: float = 4.0) -> None:
    """Measure at ``rate`` claims a second for ``seconds`` each."""
    asyncio.run(run(rate, seconds))


if __name__ == "__main__":
    fire.Fire(main)
