"""Fetches a prompt's context blocks into the engine and exports them afterwards.

Blocks that the engine lacks are read from store VMs before the prompt runs, if that is
faster than recomputing them. Blocks of finished prompts are queued for export.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog
from result import Err

from bamboopier_decisions.context.block_name import BlockName
from bamboopier_decisions.context.blocks import derive_workspace_secret
from bamboopier_decisions.context.fetch_choice import (
    FetchConditions,
    FetchPlan,
    FetchReason,
    choose_fetch,
    is_worth_exporting,
)
from bamboopier_decisions.context.rates import MeasuredRate
from bamboopier_decisions.context.resident import ResidentKeys

from .block_exporter import BlockExporter
from .block_fetcher import BlockFetcher
from .context_view import DEFAULT_BLOCK_TOKENS, ContextView, get_workspace_tag
from .store_errors import (
    BlockMissingError,
    BlockVerificationError,
    StoreError,
    StoreHungError,
    TransferTimeoutError,
)
from .store_link import StoreLink

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bamboopier_decisions.context.rates import Rate
    from bamboopier_protocol.agent_pb2 import ServeRequest

    from .metrics import AgentMetrics
    from .store_client import StoreClient
    from .target import CacheEvents, TargetClient

# Assumed until measured, in tokens and bytes per second.
INITIAL_PREFILL_RATE = 8000.0
INITIAL_LINK_RATE = 125_000_000.0

log = structlog.get_logger()


@dataclass(slots=True)
class ContextRates:
    """The rates compared in the choice between fetching and recomputing.

    ``prefill`` is in tokens per second, ``link`` in bytes per second.
    """

    prefill: Rate
    link: Rate


def make_initial_rates() -> ContextRates:
    """Return the rates assumed for a target without measurements."""
    return ContextRates(
        MeasuredRate(INITIAL_PREFILL_RATE, INITIAL_PREFILL_RATE),
        MeasuredRate(INITIAL_LINK_RATE, INITIAL_LINK_RATE),
    )


class ContextBlockManager:
    """Fetches and exports context blocks for one target."""

    def __init__(
        self,
        target: TargetClient,
        store: StoreClient,
        block_secret: bytes,
        metrics: AgentMetrics,
        rates: ContextRates,
    ) -> None:
        self._target = target
        self._block_secret = block_secret
        self._metrics = metrics
        self._rates = rates
        self._link = StoreLink(store, rates.link, metrics)
        self._fetcher = BlockFetcher(self._link)
        self.exporter = BlockExporter(target, self._link, block_secret, metrics)
        self._resident = ResidentKeys()

    @property
    def store_vms(self) -> tuple[str, ...]:
        """Return the names of the store VMs in use."""
        return tuple(vm.name for vm in self._link.view.store_vms)

    def configure(self, view: ContextView) -> None:
        """Apply store VMs, link budget and cost weights of a new view."""
        self._link.configure(view)

    async def fetch(self, request: ServeRequest) -> int:
        """Import the missing blocks that are worth fetching; return how many.

        Stops at the first block that cannot be read, because the engine can only use
        a contiguous prefix.
        """
        keys = tuple(request.model.block_keys)
        if not keys:
            return 0
        resident = self._resident.count_prefix(time.monotonic(), keys)
        plan = self._plan(request, len(keys) - resident)
        fetched = 0
        if plan.blocks:
            wanted = range(resident, resident + plan.blocks)
            fetched = await self._fetch_blocks(request, wanted, plan)
        self._metrics.fetch_decisions.labels(plan.reason).inc()
        log.info(
            "context fetch",
            request_id=request.request_id,
            workspace=request.workspace,
            resident=resident,
            missing=len(keys) - resident,
            wanted=plan.blocks,
            fetched=fetched,
            recomputed=len(keys) - resident - fetched,
            reason=plan.reason,
            predicted_ms=round(plan.predicted * 1000),
        )
        return fetched

    def record_response(
        self,
        request: ServeRequest,
        cached_tokens: int,
        prefill_tokens: int,
        seconds: float,
    ) -> None:
        """Update the prefill rate from a complete response and queue blocks for export.

        ``seconds`` ran from sending to the first byte, for ``prefill_tokens`` of
        prefill.
        """
        now = time.monotonic()
        keys = tuple(request.model.block_keys)
        # Without streaming, the first byte is sent after the last token, so its time
        # does not measure prefill.
        streamed = request.model.stream
        if streamed and prefill_tokens >= self.find_block_tokens(request):
            self._rates.prefill.record(now, prefill_tokens, seconds)
        if cached_tokens + prefill_tokens > 0:
            cached = cached_tokens // self.find_block_tokens(request)
            if cached < len(keys):
                self._resident.record_miss(keys[cached])
            self._resident.confirm(now, keys)
            conditions = self._build_conditions(request, 1)
            worth_exporting = is_worth_exporting(
                conditions, self._link.view.cost_weights
            )
            self.exporter.offer(request, worth_exporting=worth_exporting)

    async def run(self) -> None:
        """Export queued blocks until cancelled."""
        await self.exporter.run()

    def apply_events(self, events: CacheEvents, *, gap: bool = False) -> None:
        """Apply the engine's cache events; ``gap`` says that some were lost."""
        if gap:
            self._resident.clear()
        for event in events.events:
            if event.kind == "evicted":
                self._resident.remove(bytes.fromhex(event.key))

    def clear_resident(self) -> None:
        """Clear the blocks assumed resident, because the engine has restarted."""
        self._resident.clear()

    def find_block_tokens(self, request: ServeRequest) -> int:
        """Return how many tokens a block of the request's model has."""
        block_tokens = self._link.view.block_tokens
        return block_tokens.get(request.model.model, DEFAULT_BLOCK_TOKENS)

    def _plan(self, request: ServeRequest, missing: int) -> FetchPlan:
        if missing == 0:
            return FetchPlan(0, FetchReason.RESIDENT)
        view = self._link.view
        if not view.store_vms:
            return FetchPlan(0, FetchReason.NO_STORE)
        return choose_fetch(self._build_conditions(request, missing), view.cost_weights)

    def _build_conditions(self, request: ServeRequest, missing: int) -> FetchConditions:
        now = time.monotonic()
        block_tokens = self.find_block_tokens(request)
        return FetchConditions(
            blocks=missing,
            block_bytes=self._link.estimate_block_bytes(block_tokens),
            block_tokens=block_tokens,
            prefill_rate=self._rates.prefill.estimate(now),
            link_rate=self._link.estimate_rate(now),
            available_bytes=self._link.budget.get_available_bytes(now),
            budget_rate=self._link.view.link_bytes_per_second,
        )

    async def _fetch_blocks(
        self, request: ServeRequest, wanted: range, plan: FetchPlan
    ) -> int:
        work = request.model
        secret = derive_workspace_secret(self._block_secret, request.workspace)
        tag = get_workspace_tag(self._block_secret, request.workspace)
        names = [BlockName(tag, n, work.block_keys[n]) for n in wanted]
        started = time.monotonic()
        imported = 0
        size = 0
        deadline = started + plan.timeout
        failure: StoreError | None = None
        async with self._fetcher.open(
            names, secret, work.weight_version, deadline
        ) as reader:
            for name in names:
                result = await reader.read_next()
                if isinstance(result, Err):
                    failure = result.err_value
                    break
                if not await self._target.import_block(
                    work.cache_salt, name.key, work.weight_version, result.ok_value
                ):
                    break
                self._resident.confirm(time.monotonic(), [name.key])
                self.exporter.record_stored(name.key)
                size += len(result.ok_value)
                imported += 1
        self._record_transfer(imported, size, time.monotonic() - started, failure)
        if isinstance(failure, BlockMissingError | BlockVerificationError):
            missing_keys = work.block_keys[wanted.start + imported :]
            damaged = isinstance(failure, BlockVerificationError)
            self._invalidate_stored(missing_keys, damaged=damaged)
        return imported

    def _record_transfer(
        self,
        imported: int,
        size: int,
        seconds: float,
        failure: StoreError | None,
    ) -> None:
        now = time.monotonic()
        if isinstance(failure, StoreHungError | TransferTimeoutError):
            expected = self._link.estimate_block_bytes()
            self._link.record_timeout(now, size + expected, seconds)
            return
        if imported:
            self._link.record_transfer(now, size, seconds)

    def _invalidate_stored(self, keys: Sequence[bytes], *, damaged: bool) -> None:
        """Mark blocks as no longer stored after the first of them could not be read.

        The later ones were written at the same time and are probably missing too. If
        they were still assumed stored, each request with this prompt would find and
        rewrite only one. Blocks that do exist are not sent again, because each export
        checks the store first.
        """
        self.exporter.invalidate_stored(keys[0], damaged=damaged)
        for key in keys[1:]:
            self.exporter.invalidate_stored(key, damaged=False)
