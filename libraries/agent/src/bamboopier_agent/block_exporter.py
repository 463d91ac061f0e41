"""Writes blocks of finished prompts to store VMs in the background."""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from enum import StrEnum
from typing import TYPE_CHECKING

import structlog
from result import Err, Ok

from bamboopier_decisions.context.block_name import BlockName
from bamboopier_decisions.context.blocks import derive_workspace_secret
from bamboopier_decisions.context.envelope import seal_block
from bamboopier_decisions.context.export_choice import (
    ExportItem,
    ExportQueue,
    ReuseLikelihood,
    ReuseTracker,
)

from .context_view import get_workspace_tag
from .store_errors import StoreFullError
from .store_evictor import StoreEvictor

if TYPE_CHECKING:
    from bamboopier_decisions.context.placement import StoreVm
    from bamboopier_protocol.agent_pb2 import ServeRequest

    from .metrics import AgentMetrics
    from .store_link import StoreLink
    from .target import TargetClient

# Blocks queued for export; beyond this, those least likely to be reused are dropped.
MAX_QUEUED_BLOCKS = 1024
MAX_STORED_KEYS = 65_536
# Blocks that were seen once and do not start a prompt are not exported if the link's
# budget would delay them for longer than this.
MAX_LINK_WAIT_SECONDS = 1.0

log = structlog.get_logger()


class ExportOutcome(StrEnum):
    """The outcome of exporting one block."""

    WRITTEN = "written"
    STORED_ALREADY = "stored-already"
    NOT_IN_ENGINE = "not-in-engine"
    RECOMPUTE_FASTER = "recompute-is-quicker"
    LINK_SHORT = "link-short"
    QUEUE_FULL = "queue-full"
    STORE_FULL = "store-full"
    STORE_FAILED = "store-failed"


class BlockExporter:
    """Exports queued blocks one at a time."""

    def __init__(
        self,
        target: TargetClient,
        link: StoreLink,
        block_secret: bytes,
        metrics: AgentMetrics,
    ) -> None:
        self._target = target
        self._link = link
        self._block_secret = block_secret
        self._metrics = metrics
        self._evictor = StoreEvictor(link)
        self._reuse_tracker = ReuseTracker()
        self._queue = ExportQueue(MAX_QUEUED_BLOCKS)
        self._arrived = asyncio.Event()
        self._stored_keys: OrderedDict[bytes, None] = OrderedDict()
        # Found damaged by a reader; written again even if a block of its size exists.
        self._damaged_keys: set[bytes] = set()

    def offer(self, request: ServeRequest, *, worth_exporting: bool = True) -> None:
        """Queue the blocks of a finished request that are not assumed to be stored.

        Unless ``worth_exporting`` is set, the blocks are only counted.
        """
        work = request.model
        keys = tuple(work.block_keys)
        for depth, likelihood in enumerate(self._reuse_tracker.record_prompt(keys)):
            if keys[depth] in self._stored_keys:
                continue
            item = ExportItem(
                request.request_id,
                request.workspace,
                work.cache_salt,
                work.weight_version,
                keys[depth],
                depth,
            )
            if not worth_exporting:
                self._report(item, likelihood, ExportOutcome.RECOMPUTE_FASTER, [])
                continue
            dropped = self._queue.push(likelihood, item)
            if dropped is not None:
                self._report(dropped, likelihood, ExportOutcome.QUEUE_FULL, [])
        self._arrived.set()

    def record_stored(self, key: bytes) -> None:
        """Record that a block is stored."""
        self._stored_keys[key] = None
        self._stored_keys.move_to_end(key)
        if len(self._stored_keys) > MAX_STORED_KEYS:
            self._stored_keys.popitem(last=False)

    def invalidate_stored(self, key: bytes, *, damaged: bool) -> None:
        """Record that a block is missing from its store, or ``damaged`` there."""
        self._stored_keys.pop(key, None)
        if damaged and len(self._damaged_keys) < MAX_STORED_KEYS:
            self._damaged_keys.add(key)

    async def run(self) -> None:
        """Export until cancelled."""
        while True:
            await self._arrived.wait()
            self._arrived.clear()
            await self.export_queued()

    async def export_queued(self) -> None:
        """Export all queued blocks."""
        while (queued := self._queue.pop()) is not None:
            likelihood, item = queued
            outcome, vms = await self._export(likelihood, item)
            self._report(item, likelihood, outcome, vms)

    async def _export(
        self, likelihood: ReuseLikelihood, item: ExportItem
    ) -> tuple[ExportOutcome, list[StoreVm]]:
        if item.key in self._stored_keys:
            return ExportOutcome.STORED_ALREADY, []
        owners = self._list_usable_owners(item.key)
        if not owners:
            return ExportOutcome.STORE_FAILED, []
        # The engine reports the weight version of the block, and a block of another
        # version than the prompt's is skipped. Otherwise a load between run and export
        # would store new blocks under the old version's key, with a valid digest.
        payload = await self._target.export_block(item.salt, item.key, item.version)
        if payload is None:
            return ExportOutcome.NOT_IN_ENGINE, []
        secret = derive_workspace_secret(self._block_secret, item.workspace)
        sealed = await asyncio.to_thread(
            seal_block, secret, item.key, item.version, payload
        )
        self._link.record_block_size(len(sealed))
        tag = get_workspace_tag(self._block_secret, item.workspace)
        name = BlockName(tag, item.depth, item.key)
        return await self._write_to_owners(likelihood, name, sealed, owners)

    def _list_usable_owners(self, key: bytes) -> list[StoreVm]:
        now = time.monotonic()
        health = self._link.health
        owners = self._link.list_owners(key)
        return [vm for vm in owners if not health.is_backing_off(now, vm.name)]

    async def _write_to_owners(
        self,
        likelihood: ReuseLikelihood,
        name: BlockName,
        sealed: bytes,
        owners: list[StoreVm],
    ) -> tuple[ExportOutcome, list[StoreVm]]:
        written: list[StoreVm] = []
        outcome = ExportOutcome.STORED_ALREADY
        for vm in owners:
            if await self._is_stored(vm, name, len(sealed)):
                continue
            if not await self._wait_for_link(likelihood, len(sealed)):
                return ExportOutcome.LINK_SHORT, written
            outcome = await self._write(vm, name, sealed)
            if outcome is ExportOutcome.WRITTEN:
                written.append(vm)
        if written:
            outcome = ExportOutcome.WRITTEN
        if outcome in (ExportOutcome.WRITTEN, ExportOutcome.STORED_ALREADY):
            self._damaged_keys.discard(name.key)
            self.record_stored(name.key)
        return outcome, written

    async def _is_stored(self, vm: StoreVm, name: BlockName, size: int) -> bool:
        """Check the VM, so that a restarted agent does not send all blocks again.

        A truncated block is shorter and is written again; one that a reader found
        damaged is written again whatever its size.
        """
        if name.key in self._damaged_keys:
            return False
        result = await self._link.store.get_size(vm.address, str(name))
        return isinstance(result, Ok) and result.ok_value == size

    async def _wait_for_link(self, likelihood: ReuseLikelihood, size: int) -> bool:
        waited = 0.0
        while (wait := self._link.budget.try_export(time.monotonic(), size)) > 0:
            if (
                likelihood is ReuseLikelihood.NEW
                and waited + wait > MAX_LINK_WAIT_SECONDS
            ):
                return False
            await asyncio.sleep(wait)
            waited += wait
        return True

    async def _write(
        self, vm: StoreVm, name: BlockName, sealed: bytes
    ) -> ExportOutcome:
        result = await self._link.write(vm, name, sealed)
        full = isinstance(result, Err) and isinstance(result.err_value, StoreFullError)
        if full and await self._evictor.free_space(vm, name):
            result = await self._link.write(vm, name, sealed)
        if isinstance(result, Ok):
            return ExportOutcome.WRITTEN
        if isinstance(result.err_value, StoreFullError):
            return ExportOutcome.STORE_FULL
        return ExportOutcome.STORE_FAILED

    def _report(
        self,
        item: ExportItem,
        likelihood: ReuseLikelihood,
        outcome: ExportOutcome,
        vms: list[StoreVm],
    ) -> None:
        self._metrics.export_decisions.labels(outcome).inc()
        log.info(
            "block export",
            request_id=item.request_id,
            workspace=item.workspace,
            depth=item.depth,
            odds=likelihood.name.lower(),
            outcome=outcome,
            store_vms=[vm.name for vm in vms],
        )
