"""Simple models of engines, store VMs and links."""

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
# In six minutes of each hour every link has only a share of its speed, alternately
# one of these.
SLOW_PERIOD, SLOW_SECONDS, SLOW_FACTORS = 3600.0, 360.0, (0.05, 0.16)


class StoreVmModel:
    """The names of stored blocks in the order of their writes, up to a capacity."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.names: OrderedDict[str, None] = OrderedDict()
        self.lists = 0
        self._victims: list[str] = []

    def write(self, name: BlockName, shares: dict[str, float]) -> None:
        """Store a block; evict others as agents do if the VM is full."""
        if str(name) not in self.names and len(self.names) >= self.capacity:
            self._evict(name, shares)
        if len(self.names) < self.capacity:
            self.names[str(name)] = None

    def _evict(self, name: BlockName, shares: dict[str, float]) -> None:
        if not self._victims:
            self.lists += 1
            names = list(self.names)
            self._victims = choose_evictions(names, shares, name.tag, EVICT_BATCH)
        if self._victims:
            self.names.pop(self._victims.pop(0), None)


class Engine:
    """A prefix cache of limited size, a prefill queue and the state of the agent."""

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
        """Return the number of leading blocks in the cache, and mark them as used."""
        for count, key in enumerate(keys):
            if key not in self.cache:
                return count
            self.cache.move_to_end(key)
        return len(keys)

    def add_to_cache(self, now: float, keys: Sequence[bytes]) -> None:
        """Add blocks to the cache; the agent learns of evicted ones at once."""
        for key in keys:
            self.cache[key] = None
            self.cache.move_to_end(key)
        self.resident.confirm(now, keys)
        while len(self.cache) > self.site.engine_blocks:
            key, _ = self.cache.popitem(last=False)
            self.resident.remove(key)

    def read_link_speed(self, now: float) -> float:
        """Return the actual speed of the link, in bytes a second."""
        if now % SLOW_PERIOD >= SLOW_SECONDS:
            return self.site.link_speed
        hour = int(now / SLOW_PERIOD)
        return self.site.link_speed * SLOW_FACTORS[hour % len(SLOW_FACTORS)]

    def find_peak(self) -> float:
        """Return the maximum number of bytes of transfers started within one second."""
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
