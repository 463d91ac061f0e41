"""An engine, store VMs and a block manager in one event loop, for tests of context."""

from __future__ import annotations

import hashlib
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any, Self

import aiohttp
from aiohttp.test_utils import TestServer

from bamboopier_agent.context import ContextBlockManager, ContextRates
from bamboopier_agent.context_view import ContextView, get_workspace_tag
from bamboopier_agent.metrics import AgentMetrics
from bamboopier_agent.store_client import StoreClient
from bamboopier_agent.target import TargetClient
from bamboopier_decisions.context.block_name import BlockName
from bamboopier_decisions.context.blocks import (
    compute_block_keys,
    derive_workspace_secret,
)
from bamboopier_decisions.context.placement import StoreVm
from bamboopier_protocol import agent_pb2 as pb
from bamboopier_standins.engine import EngineOptions, EngineStandIn, make_block
from bamboopier_standins.store import StoreStandIn

if TYPE_CHECKING:
    from collections.abc import Sequence

BLOCK_SECRET = b"b" * 32
MODEL = "pillar-8b"
BLOCK_TOKENS = 4
# Tokens and bytes per second. Both give long timeouts, so that a fetch does not time
# out on a busy machine.
SLOW_PREFILL = 0.01
SLOW_LINK = 100.0
# A fast link gives the shortest timeout.
FAST_LINK = 1e9
# Recomputing is faster than this link, so nothing is fetched.
STALLED_LINK = 0.001
HISTORY = tuple(f"visit-{n}" for n in range(3 * BLOCK_TOKENS))


def build_request(
    words: Sequence[str] = HISTORY, workspace: str = "fosse", version: str = "v1"
) -> pb.ServeRequest:
    """Return the request that a gateway sends for a prompt of ``words``."""
    secret = derive_workspace_secret(BLOCK_SECRET, workspace)
    keys = compute_block_keys(secret, MODEL, version, "", words, BLOCK_TOKENS)
    work = pb.ModelWork(
        model=MODEL,
        weight_version=version,
        block_keys=keys,
        prompt_tokens=len(words),
        cache_salt=f"salt-{workspace}",
        stream=True,
    )
    return pb.ServeRequest(
        request_id="r", workspace=workspace, body=" ".join(words).encode(), model=work
    )


def list_names(request: pb.ServeRequest) -> list[str]:
    """Return the names of a request's blocks in the store."""
    tag = get_workspace_tag(BLOCK_SECRET, request.workspace)
    return [str(BlockName(tag, n, k)) for n, k in enumerate(request.model.block_keys)]


def list_digests(request: pb.ServeRequest, version: str = "v1") -> list[str]:
    """Return the digests of a request's correct blocks."""
    words = request.body.decode().split()
    ends = range(BLOCK_TOKENS, len(words) + 1, BLOCK_TOKENS)
    blocks = [make_block(version, words[:end], BLOCK_TOKENS) for end in ends]
    return [hashlib.sha256(block).hexdigest() for block in blocks]


class FixedRate:
    """A rate that ignores measurements, so that tests do not depend on real speeds."""

    def __init__(self, rate: float) -> None:
        self.rate = rate

    def record(self, now: float, amount: float, seconds: float) -> None:
        """Ignore a measurement."""

    def record_timeout(self, now: float, amount: float, seconds: float) -> None:
        """Ignore a timeout."""

    def estimate(self, now: float) -> float:
        return self.rate


class ContextHarness:
    """One target with its block manager and some store VMs."""

    def __init__(self, stores: int = 1, capacity: int = 1 << 20) -> None:
        options = EngineOptions(block_tokens=BLOCK_TOKENS, prefill_rate=1e6)
        self.engine = EngineStandIn(options)
        self.stores = [StoreStandIn(capacity) for _ in range(stores)]
        self.vms: tuple[StoreVm, ...] = ()
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Self:
        enter = self._stack.enter_async_context
        engine = await enter(TestServer(self.engine.make_application()))
        self.target = await enter(TargetClient(str(engine.make_url("/"))))
        self.store_client = await enter(StoreClient())
        self.session = await enter(aiohttp.ClientSession(engine.make_url("/")))
        for number, store in enumerate(self.stores):
            server = await enter(TestServer(store.make_application()))
            address = f"{server.host}:{server.port}"
            self.vms += (StoreVm(f"store-{number}", address, f"dc-{number}"),)
        self.restart_agent()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    def restart_agent(self, **view: Any) -> None:
        """Replace the block manager by a new one without state."""
        self.metrics = AgentMetrics()
        self.link_rate = FixedRate(SLOW_LINK)
        self.manager = ContextBlockManager(
            self.target,
            self.store_client,
            BLOCK_SECRET,
            self.metrics,
            ContextRates(FixedRate(SLOW_PREFILL), self.link_rate),
        )
        self.configure(**view)

    def configure(self, **view: Any) -> None:
        """Apply a view; by default with all store VMs and one replica."""
        values = {"store_vms": self.vms, "block_tokens": {MODEL: BLOCK_TOKENS}, **view}
        self.manager.configure(ContextView(**values))

    async def run(self, request: pb.ServeRequest, *, fetch: bool = True) -> int:
        """Run a request as the agent does; return the number of cached tokens."""
        if fetch:
            await self.manager.fetch(request)
        body = {
            "prompt": request.body.decode(),
            "cache_salt": request.model.cache_salt,
            "block_keys": [key.hex() for key in request.model.block_keys],
            "max_tokens": 1,
        }
        async with self.session.post("/v1/completions", json=body) as response:
            usage = (await response.json())["usage"]
        cached = int(usage["prompt_tokens_details"]["cached_tokens"])
        prefill_tokens = usage["prompt_tokens"] - cached
        self.manager.record_response(request, cached, prefill_tokens, 0.1)
        return cached

    async def run_and_export(
        self, request: pb.ServeRequest, *, fetch: bool = True
    ) -> int:
        """Run a request and wait until its blocks are exported."""
        cached = await self.run(request, fetch=fetch)
        await self.manager.exporter.export_queued()
        return cached

    def restart_cold(self) -> None:
        """Restart engine and agent without their state; the stores keep blocks."""
        self.engine.cache.clear()
        self.engine.imports.clear()
        self.restart_agent()

    def list_imported(self) -> list[str]:
        """Return the digests of the blocks imported into the engine, in order."""
        return [entry["digest"] for entry in self.engine.imports]

    def count_calls(self, method: str) -> int:
        """Return how many calls with ``method`` the stores received."""
        return sum(e["method"] == method for s in self.stores for e in s.log)

    def count_failures(self, reason: str) -> float:
        """Return the metric of failed calls to stores."""
        name = "bamboopier_store_failures_total"
        return self.metrics.registry.get_sample_value(name, {"reason": reason}) or 0.0
