"""The link from a target to its store VMs: its budget, its rate and the VMs' health."""

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

# Size of a sealed block, assumed until the first one is read or written.
INITIAL_BYTES_PER_TOKEN = 6400
SIZE_SMOOTHING = 0.3
# Reading stops once a block exceeds its expected size by this factor.
MAX_SIZE_FACTOR = 8
# Concurrent reads of all requests together. When a data centre recovers, dozens of
# prompts fetch at the same moment. Over a slow link their blocks of about 50 MB each
# would fill the memory until the VM kills the agent and all its streams.
MAX_CONCURRENT_READS = 4
MIN_READ_LIMIT = 64 * 1024 * 1024
# How long blocks are also read from the VMs that owned them before a change. Within the
# hour, most prompts that are sent again have moved their blocks to the new owners.
FORMER_OWNER_SECONDS = 3600.0


class StoreLink:
    """Transfers sealed blocks within the link's budget and verifies those it reads."""

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
        """Apply a new view; blocks are also read from the former VMs for a while."""
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
        """Return the estimated rate of a fetch in bytes per second."""
        return self._rate.estimate(now)

    def estimate_block_bytes(self, block_tokens: int = DEFAULT_BLOCK_TOKENS) -> float:
        """Return the expected size of a sealed block in bytes."""
        return self._block_bytes or block_tokens * INITIAL_BYTES_PER_TOKEN

    def record_block_size(self, size: int) -> None:
        """Update the expected block size from a complete block of ``size`` bytes."""
        previous = self._block_bytes or size
        self._block_bytes = previous + SIZE_SMOOTHING * (size - previous)

    def record_transfer(self, now: float, size: float, seconds: float) -> None:
        """Update the rate from a completed fetch of ``size`` bytes."""
        self._rate.record(now, size, seconds)

    def record_timeout(self, now: float, size: float, seconds: float) -> None:
        """Update the rate from a fetch of ``size`` bytes that timed out."""
        self._rate.record_timeout(now, size, seconds)

    def list_owners(self, key: bytes) -> list[StoreVm]:
        """Return the VMs that a block is written to."""
        return place_block(key, self.view.store_vms, self.view.replicas)

    async def read_verified(
        self, name: BlockName, secret: bytes, version: str, deadline: float
    ) -> Result[bytes, StoreError]:
        """Return the payload of a block after verifying its digest.

        ``deadline`` is a time on the monotonic clock in seconds.
        """
        sources = self._list_usable_sources(name.key)
        failure: StoreError = BlockMissingError()
        for position, vm in enumerate(sources):
            remaining = deadline - time.monotonic()
            # Divides the remaining time equally, so that a source that hangs leaves
            # time for the next ones.
            timeout = remaining / (len(sources) - position)
            result = await self._read_when_free(vm, name, timeout)
            if isinstance(result, Err):
                failure = result.err_value
                continue
            # A store may return a partial write, reused space or damaged bytes.
            # Imported, they would cause a wrong response. The digest is keyed and
            # covers key, version and length, so only the block itself passes. It takes
            # about 50 ms for a block and is computed in a thread, because it would
            # block all other streams.
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
        """Write a block to one VM; the caller has already spent the budget for it."""
        result = await self.store.write(vm.address, str(name), sealed)
        self._metrics.link_bytes.labels("export").inc(len(sealed))
        self._record_result(vm, result)
        return result

    def record_call(self, vm: StoreVm, error: StoreError | None) -> None:
        """Update the VM's health after a call, and count the error if there is one."""
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
            error = TransferTimeoutError("timed out waiting for other reads")
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
                error = TransferTimeoutError("the link's budget is exhausted")
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
