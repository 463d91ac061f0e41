"""Simulates one trace with one policy."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from bamboopier_decisions.context.block_name import BlockName, derive_workspace_tag
from bamboopier_decisions.context.export_choice import ExportItem, ReuseLikelihood
from bamboopier_decisions.context.fetch_choice import (
    CostWeights,
    FetchConditions,
    choose_fetch,
    is_worth_exporting,
)
from bamboopier_decisions.context.placement import StoreVm, list_read_vms, place_block
from bamboopier_decisions.routing.messages import (
    AttemptEnded,
    Distance,
    ExecutionStatus,
    FleetChanged,
    RequestArrived,
    Send,
    TargetLoad,
    TargetReported,
    TargetView,
)
from bamboopier_decisions.routing.router import Router

from .fleet import Engine, StoreVmModel
from .traces import BLOCK_TOKENS

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from .traces import Prompt, Site

SECRET = b"b" * 32
SHORT_LINK_SECONDS = 1.0
MAX_MILLISECONDS = 3_600_000


@dataclass(frozen=True, slots=True)
class Policy:
    """The routing that is compared, and the weights of the store; None for no store."""

    name: str
    routing: str
    weights: CostWeights | None = None


class Simulation:
    """One simulation; its counters are read after ``run``."""

    def __init__(self, site: Site, policy: Policy, seed: int) -> None:
        self.site = site
        self.policy = policy
        self.random = random.Random(seed)
        self.prompt_tokens = 0
        self.recomputed_tokens = 0
        self.fetched_bytes = 0
        self.exported_bytes = 0
        self.late_fetches = 0
        self.first_token = HdrHistogram(1, MAX_MILLISECONDS, 3)
        self.returning = HdrHistogram(1, MAX_MILLISECONDS, 3)
        self.engines = [
            Engine(f"engine-{n}", f"dc-{n % site.data_centres}", site)
            for n in range(site.engines)
        ]
        self.vms = tuple(
            StoreVm(f"store-{n}", "", f"dc-{n % site.data_centres}")
            for n in range(site.store_vms)
        )
        self.stores = {vm.name: StoreVmModel(site.store_blocks) for vm in self.vms}
        self.router = Router(self.random)
        views = tuple(
            TargetView(engine.name, "s", Distance.SAME_DATA_CENTRE)
            for engine in self.engines
        )
        self.router.handle(FleetChanged(0.0, views))
        self.tags = {
            f"workspace-{n}": derive_workspace_tag(SECRET, f"workspace-{n}")
            for n in range(10)
        }
        self.shares = dict.fromkeys(self.tags.values(), 1.0)
        self._round_robin = itertools.cycle(self.engines)
        self._sequence = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []

    def run(self, trace: Sequence[Prompt]) -> None:
        """Process every prompt of the trace and all events that result."""
        for prompt in trace:
            self._schedule(prompt.at, self._make_arrival(prompt))
        while self._events:
            now, _, act = heapq.heappop(self._events)
            act(now)

    def _schedule(self, at: float, act: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._sequence), act))

    def _make_arrival(self, prompt: Prompt) -> Callable[[float], None]:
        return lambda now: self._arrive(now, prompt)

    def _arrive(self, now: float, prompt: Prompt) -> None:
        engine = self._route(now, prompt)
        seconds = self._fetch(now, engine, prompt) if self.policy.weights else 0.0
        self._schedule(now + seconds, lambda at: self._prefill(at, now, engine, prompt))

    def _route(self, now: float, prompt: Prompt) -> Engine:
        if self.policy.routing == "round-robin":
            return next(self._round_robin)
        if self.policy.routing == "least-loaded":
            return min(self.engines, key=lambda e: (e.busy_until, self.random.random()))
        for engine in self.engines:
            delay = max(0.0, engine.busy_until - now)
            load = TargetLoad(
                limit=32, prefill_rate=self.site.prefill_rate, queue_delay=delay
            )
            self.router.handle(TargetReported(now, engine.name, load))
        request_id = str(next(self._sequence))
        decision = self.router.handle(
            RequestArrived(
                now=now,
                request_id=request_id,
                workspace=prompt.workspace,
                service="s",
                idempotent=True,
                deadline=now + MAX_MILLISECONDS,
                prompt_tokens=prompt.tokens,
                block_tokens=BLOCK_TOKENS,
                block_keys=prompt.keys,
            )
        )
        assert isinstance(decision, Send)
        name = decision.target
        self.router.handle(
            AttemptEnded(now, request_id, name, ExecutionStatus.EXECUTED)
        )
        return next(engine for engine in self.engines if engine.name == name)

    def _fetch(self, now: float, engine: Engine, prompt: Prompt) -> float:
        """Import the blocks that are worth it; return the seconds of the import."""
        assert self.policy.weights is not None
        resident = engine.resident.count_prefix(now, prompt.keys)
        missing = prompt.keys[resident:]
        if not missing:
            return 0.0
        size = self.site.block_bytes
        conditions = self._make_fetch_conditions(now, engine, len(missing))
        plan = choose_fetch(conditions, self.policy.weights)
        seconds = 0.0
        fetched: list[bytes] = []
        for depth, key in enumerate(missing[: plan.blocks], resident):
            if not self._is_stored(engine, prompt, key, depth):
                engine.known.difference_update(prompt.keys[depth:])
                break
            wait = engine.budget.reserve_fetch(now, size)
            speed = engine.read_link_speed(now)
            done = max(seconds, wait) + size / speed
            if done > plan.timeout:
                engine.budget.adjust_fetch(size, 0)
                engine.rate.record_timeout(now, (len(fetched) + 1) * size, plan.timeout)
                self.late_fetches += 1
                seconds = plan.timeout
                break
            engine.transfers.append((now + wait, size))
            seconds = done
            fetched.append(key)
        else:
            engine.rate.record(now, len(fetched) * size, seconds)
        self.fetched_bytes += len(fetched) * size
        engine.known.update(fetched)
        engine.add_to_cache(now, fetched)
        return seconds

    def _make_fetch_conditions(
        self, now: float, engine: Engine, missing: int
    ) -> FetchConditions:
        return FetchConditions(
            blocks=missing,
            block_bytes=self.site.block_bytes,
            block_tokens=BLOCK_TOKENS,
            prefill_rate=self.site.prefill_rate,
            link_rate=engine.rate.estimate(now),
            available_bytes=engine.budget.get_available_bytes(now),
            budget_rate=self.site.link_budget,
        )

    def _is_stored(
        self, engine: Engine, prompt: Prompt, key: bytes, depth: int
    ) -> bool:
        name = str(BlockName(self.tags[prompt.workspace], depth, key))
        sources = list_read_vms(key, self.vms, (), 1, engine.data_centre)
        return any(name in self.stores[vm.name].names for vm in sources)

    def _prefill(
        self, now: float, arrived: float, engine: Engine, prompt: Prompt
    ) -> None:
        cached = engine.count_cached(prompt.keys) * BLOCK_TOKENS
        prefill_tokens = prompt.tokens - cached
        start = max(now, engine.busy_until)
        engine.busy_until = start + prefill_tokens / self.site.prefill_rate
        milliseconds = int((engine.busy_until - arrived) * 1000)
        milliseconds = min(MAX_MILLISECONDS, max(1, milliseconds))
        self.first_token.record_value(milliseconds)
        if prompt.returning:
            self.returning.record_value(milliseconds)
        self.prompt_tokens += prompt.tokens
        self.recomputed_tokens += prefill_tokens
        engine.add_to_cache(now, prompt.keys)
        if self.policy.weights:
            self._schedule(
                engine.busy_until, lambda at: self._offer(at, engine, prompt)
            )

    def _offer(self, now: float, engine: Engine, prompt: Prompt) -> None:
        assert self.policy.weights is not None
        worth = is_worth_exporting(
            self._make_fetch_conditions(now, engine, 1), self.policy.weights
        )
        for depth, likelihood in enumerate(
            engine.reuse_tracker.record_prompt(prompt.keys)
        ):
            key = prompt.keys[depth]
            if worth and key not in engine.known:
                item = ExportItem("", prompt.workspace, "", "", key, depth)
                engine.exports.push(likelihood, item)
        if not engine.exporting:
            engine.exporting = True
            self._export_next(now, engine)

    def _export_next(self, now: float, engine: Engine) -> None:
        queued = engine.exports.pop()
        engine.exporting = queued is not None
        if queued is not None:
            self._export(now, engine, *queued, 0.0)

    def _export(
        self,
        now: float,
        engine: Engine,
        likelihood: ReuseLikelihood,
        item: ExportItem,
        waited: float,
    ) -> None:
        name = BlockName(self.tags[item.workspace], item.depth, item.key)
        store = self.stores[place_block(item.key, self.vms, 1)[0].name]
        size = self.site.block_bytes
        if str(name) in store.names or item.key not in engine.cache:
            self._export_next(now, engine)
            return
        wait = engine.budget.try_export(now, size)
        if wait <= 0:
            engine.transfers.append((now, size))
            self.exported_bytes += size
            store.write(name, self.shares)
            engine.known.add(item.key)
        elif (
            likelihood is not ReuseLikelihood.NEW or waited + wait <= SHORT_LINK_SECONDS
        ):
            again = (engine, likelihood, item, waited + wait)
            self._schedule(now + max(wait, 1e-3), lambda at: self._export(at, *again))
            return
        self._export_next(now, engine)
