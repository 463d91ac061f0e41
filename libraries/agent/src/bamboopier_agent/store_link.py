"""The link from this target to its store VMs: budget, speed and health of each VM."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from bamboopier_decisions.context.envelope import open_block
from bamboopier_decisions.context.link_budget import LinkBudget
from bamboopier_decisions.context.placement import list_read_vms, place_block
from bamboopier_decisions.context.store_vm_health import StoreVmHealth

from .context_view import DEFAULT_BLOCK_TOKENS, ContextView
from .store_errors import (
    BlockMissingError,
    BlockVerificationError,
    StoreError,
    StoreHungError,
    StoreUnreachableError,
    TransferTimeoutError,
)

if TYPE_CHECKING:
    from bamboopier_decisions.context.block_name import BlockName
    from bamboopier_decisions.context.placement import StoreVm
    from bamboopier_decisions.context.rates import Rate

    from .metrics import AgentMetrics
    from .store_client import StoreClient

# Assumed until a first block has been seen.
INITIAL_BYTES_PER_TOKEN = 6400
SIZE_SMOOTHING = 0.3
# A block larger than this many times its expected size is not read to its end.
MAX_SIZE_FACTOR = 8
# Blocks on their way at once for all requests together. When a data centre returns,
# dozens of prompts fetch at the same moment; over a slow link their blocks of some
# 50 MB would pile up here until the VM kills the agent with every stream it carries.
MAX_CONCURRENT_READS = 4
MIN_READ_LIMIT = 64 * 1024 * 1024
# How long blocks are looked for at the VMs that owned them before a change: most
# prompts that return within the hour have moved their blocks by then.
FORMER_OWNER_SECONDS = 3600.0


class StoreLink:
    """Moves sealed blocks within the link's budget and proves what it reads."""

    def __init__(self, store: StoreClient, rate: Rate, metrics: AgentMetrics) -> None:
        self.store = store
        self.view = ContextView()
        self.budget = LinkBudget(time.monotonic(), self.view.link_bytes_per_second)
        self.health = StoreVmHealth()
        self._metrics = metrics
        self._rate = rate
        self._block_bytes = 0.0
        self._former_vms: tuple[StoreVm, ...] = ()
        self._vms_changed_at = 0.0
        self._read_semaphore = asyncio.Semaphore(MAX_CONCURRENT_READS)

    def configure(self, view: ContextView) -> None:
        """Take another view; the VMs of the one before are still looked at."""
        now = time.monotonic()
        if self.view.store_vms and set(view.store_vms) != set(self.view.store_vms):
            self._former_vms = self.view.store_vms
            self._vms_changed_at = now
        changed = view.link_bytes_per_second != self.view.link_bytes_per_second
        self.view = view
        if changed:
            self.budget = LinkBudget(now, view.link_bytes_per_second)
        self._metrics.link_budget.set(view.link_bytes_per_second)

    def estimate_rate(self, now: float) -> float:
        """Return the bytes a second that a fetch can count on."""
        return self._rate.estimate(now)

    def estimate_block_bytes(self, block_tokens: int = DEFAULT_BLOCK_TOKENS) -> float:
        """Return the expected size of a sealed block."""
        return self._block_bytes or block_tokens * INITIAL_BYTES_PER_TOKEN

    def record_block_size(self, size: int) -> None:
        """Learn from a whole block's size."""
        previous = self._block_bytes or size
        self._block_bytes = previous + SIZE_SMOOTHING * (size - previous)

    def record_transfer(self, now: float, size: float, seconds: float) -> None:
        """Learn from a fetch that came in time."""
        self._rate.record(now, size, seconds)

    def record_timeout(self, now: float, size: float, seconds: float) -> None:
        """Learn from a fetch of ``size`` bytes that was given up."""
        self._rate.record_timeout(now, size, seconds)

    def list_owners(self, key: bytes) -> list[StoreVm]:
        """Return the VMs a block is written to."""
        return place_block(key, self.view.store_vms, self.view.replicas)

    async def read_verified(
        self, name: BlockName, secret: bytes, version: str, deadline: float
    ) -> Result[bytes, StoreError]:
        """Return the payload of a block that proved to be this very one.

        ``deadline`` is on the monotonic clock; no wait in here goes beyond it.
        """
        sources = self._list_usable_sources(name.key)
        failure: StoreError = BlockMissingError()
        for position, vm in enumerate(sources):
            remaining = deadline - time.monotonic()
            # A source that hangs leaves as much time for each of those behind it.
            timeout = remaining / (len(sources) - position)
            result = await self._read_when_free(vm, name, timeout)
            if isinstance(result, Err):
                failure = result.err_value
                continue
            # A store may hold half a write, space freed and reused, or damaged bytes;
            # imported, they would become a wrong answer to some caller. The digest is
            # keyed and covers key, version and length, so nothing else passes. It is
            # computed in a thread: some 50 ms a block would stop every other stream.
            payload = await asyncio.to_thread(
                open_block, secret, name.key, version, result.ok_value
            )
            if payload is not None:
                self.record_block_size(len(result.ok_value))
                return Ok(payload)
            failure = BlockVerificationError()
            self._count_failure(failure)
        return Err(failure)

    async def write(
        self, vm: StoreVm, name: BlockName, sealed: bytes
    ) -> Result[None, StoreError]:
        """Write a block to one VM; the budget has been taken already."""
        result = await self.store.write(vm.address, str(name), sealed)
        self._metrics.link_bytes.labels("export").inc(len(sealed))
        self._record_result(vm, result)
        return result

    def record_call(self, vm: StoreVm, error: StoreError | None) -> None:
        """Learn the VM's health from a call; count its failure."""
        if isinstance(error, StoreHungError | StoreUnreachableError):
            self.health.record_failure(time.monotonic(), vm.name)
        elif not isinstance(error, TransferTimeoutError):
            self.health.record_response(vm.name)
        if error is not None:
            self._count_failure(error)

    def _list_usable_sources(self, key: bytes) -> list[StoreVm]:
        now = time.monotonic()
        view = self.view
        former = (
            self._former_vms
            if now - self._vms_changed_at < FORMER_OWNER_SECONDS
            else ()
        )
        sources = list_read_vms(
            key, view.store_vms, former, view.replicas, view.data_centre
        )
        return [vm for vm in sources if not self.health.is_backing_off(now, vm.name)]

    async def _read_when_free(
        self, vm: StoreVm, name: BlockName, timeout: float
    ) -> Result[bytes, StoreError]:
        started = time.monotonic()
        try:
            async with asyncio.timeout(timeout):
                await self._read_semaphore.acquire()
        except TimeoutError:
            error = TransferTimeoutError("other reads take all the time")
            self._count_failure(error)
            return Err(error)
        try:
            remaining = timeout - (time.monotonic() - started)
            return await self._read(vm, name, remaining)
        finally:
            self._read_semaphore.release()

    async def _read(
        self, vm: StoreVm, name: BlockName, timeout: float
    ) -> Result[bytes, StoreError]:
        expected = int(self._block_bytes)
        used = 0
        started = time.monotonic()
        wait = self.budget.reserve_fetch(started, expected)
        try:
            if wait >= timeout:
                error = TransferTimeoutError("the link's budget is spent")
                self._count_failure(error)
                return Err(error)
            if wait > 0:
                await asyncio.sleep(wait)
            remaining = timeout - (time.monotonic() - started)
            limit = max(MIN_READ_LIMIT, expected * MAX_SIZE_FACTOR)
            result = await self.store.read(vm.address, str(name), remaining, limit)
            used = len(result.ok_value) if isinstance(result, Ok) else 0
            if isinstance(result, Err) and isinstance(
                result.err_value, TransferTimeoutError
            ):
                used = expected
        finally:
            self.budget.adjust_fetch(expected, used)
        self._metrics.link_bytes.labels("fetch").inc(used)
        self._record_result(vm, result)
        return result

    def _record_result(
        self, vm: StoreVm, result: Result[bytes, StoreError] | Result[None, StoreError]
    ) -> None:
        self.record_call(vm, result.err_value if isinstance(result, Err) else None)

    def _count_failure(self, error: StoreError) -> None:
        self._metrics.store_failures.labels(error.reason).inc()
