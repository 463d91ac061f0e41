"""Engines, store VMs and links as simple as the decisions allow."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from bamboopier_decisions.context.eviction import choose_evictions
from bamboopier_decisions.context.export_choice import ExportQueue, ReuseTracker
from bamboopier_decisions.context.link_budget import LinkBudget
from bamboopier_decisions.context.rates import MeasuredRate
from bamboopier_decisions.context.resident import ResidentKeys

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bamboopier_decisions.context.block_name import BlockName

    from .traces import Site

MAX_WAITING_EXPORTS = 1024
EVICT_BATCH = 16
# Every link is slower in six minutes of each hour, by these factors in turn.
SLOW_PERIOD, SLOW_SECONDS, SLOW_FACTORS = 3600.0, 360.0, (0.05, 0.16)


class StoreVmFake:
    """Names in the order of writing, up to a number of blocks."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.names: OrderedDict[str, None] = OrderedDict()
        self.lists = 0
        self._victims: list[str] = []

    def write(self, name: BlockName, shares: dict[str, float]) -> None:
        """Store a block, evicting as the agents do."""
        if str(name) not in self.names and len(self.names) >= self.capacity:
            self._make_room(name, shares)
        if len(self.names) < self.capacity:
            self.names[str(name)] = None

    def _make_room(self, name: BlockName, shares: dict[str, float]) -> None:
        if not self._victims:
            self.lists += 1
            names = list(self.names)
            self._victims = choose_evictions(names, shares, name.tag, EVICT_BATCH)
        if self._victims:
            self.names.pop(self._victims.pop(0), None)


class Engine:
    """A prefix cache of limited size, a prefill queue and the agent's own state."""

    def __init__(self, name: str, data_centre: str, site: Site) -> None:
        self.name = name
        self.data_centre = data_centre
        self.site = site
        self.busy_until = 0.0
        self.cache: OrderedDict[bytes, None] = OrderedDict()
        self.resident = ResidentKeys()
        self.budget = LinkBudget(0.0, site.link_budget)
        self.rate = MeasuredRate(site.link_budget, site.link_budget)
        self.reuse_tracker = ReuseTracker()
        self.exports = ExportQueue(MAX_WAITING_EXPORTS)
        self.exporting = False
        self.known: set[bytes] = set()
        # Start and size of each transfer.
        self.transfers: list[tuple[float, int]] = []

    def count_cached(self, keys: Sequence[bytes]) -> int:
        """Return how many leading blocks are in the cache, and use them."""
        for count, key in enumerate(keys):
            if key not in self.cache:
                return count
            self.cache.move_to_end(key)
        return len(keys)

    def remember(self, now: float, keys: Sequence[bytes]) -> None:
        """Take blocks into the cache; what leaves is told to the agent at once."""
        for key in keys:
            self.cache[key] = None
            self.cache.move_to_end(key)
        self.resident.confirm(now, keys)
        while len(self.cache) > self.site.engine_blocks:
            key, _ = self.cache.popitem(last=False)
            self.resident.remove(key)

    def read_link_speed(self, now: float) -> float:
        """Return the bytes a second that the link really carries."""
        if now % SLOW_PERIOD >= SLOW_SECONDS:
            return self.site.link_speed
        hour = int(now / SLOW_PERIOD)
        return self.site.link_speed * SLOW_FACTORS[hour % len(SLOW_FACTORS)]

    def find_peak(self) -> float:
        """Return the most bytes that started in any second."""
        peak = total = 0.0
        first = 0
        self.transfers.sort()
        for at, size in self.transfers:
            total += size
            while self.transfers[first][0] < at - 1.0:
                total -= self.transfers[first][1]
                first += 1
            peak = max(peak, total)
        return peak
