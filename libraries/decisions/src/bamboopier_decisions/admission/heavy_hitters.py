"""Limits the slots of a target that heavy hitters may use.

A heavy hitter is a workspace whose demand is far above its share.

Load pattern: one workspace demands a hundred times its share while the others demand
less than theirs. Fair queueing alone assigns every slot as soon as it is free, so the
target is always full: each request of the others waits for a slot and then shares a
full batch, and their first tokens come several times later than without the heavy
hitter. Here a workspace that demands ``HEAVY_HITTER_RATIO`` times its share is started
only while less than ``HEAVY_HITTER_SHARE`` of the limit is in use, so the others find
both a free slot and an engine that is not full. If only one workspace is active, the
whole target is its share.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from math import ceil, exp

# At this share of its concurrency limit an engine reaches much of its throughput, while
# its first tokens come about as fast as from an idle engine.
HEAVY_HITTER_SHARE = 0.25
# Random peaks of a workspace within its share stay below this ratio.
HEAVY_HITTER_RATIO = 3.0
# A workspace stays marked until it demands no more than its share: gateways that were
# rejected for it send only probes, so the demand seen here is less than the real one.
RECOVERED_RATIO = 1.0
# A workspace with a request within this time is active and has a share; its demand is
# averaged over the same time. It covers several service times.
ACTIVE_WINDOW_SECONDS = 10.0


@dataclass(slots=True)
class _Demand:
    """Seconds of target time demanded per second, as of ``updated_at``."""

    weight: float
    updated_at: float
    rate: float = 0.0
    is_heavy_hitter: bool = False

    def add(self, now: float, cost: float) -> None:
        self.rate = self.rate_at(now) + cost / ACTIVE_WINDOW_SECONDS
        self.updated_at = now

    def rate_at(self, now: float) -> float:
        return self.rate * exp((self.updated_at - now) / ACTIVE_WINDOW_SECONDS)


class HeavyHitters:
    """Tracks the demand of active workspaces and marks the heavy hitters."""

    def __init__(self) -> None:
        # Least recently active first.
        self._active: OrderedDict[str, _Demand] = OrderedDict()
        self._weight = 0.0
        self._total = _Demand(0.0, 0.0)

    def record_arrival(
        self, now: float, workspace: str, weight: float, cost: float
    ) -> None:
        """Add a request to a workspace's demand, whether or not it is admitted."""
        demand = self._active.pop(workspace, None) or _Demand(0.0, now)
        self._weight += weight - demand.weight
        demand.weight = weight
        demand.add(now, cost)
        self._active[workspace] = demand
        self._total.add(now, cost)
        while True:
            name, oldest = next(iter(self._active.items()))
            if now - oldest.updated_at <= ACTIVE_WINDOW_SECONDS:
                return
            del self._active[name]
            self._weight -= oldest.weight

    def compute_heavy_hitter_slots(self, limit: int) -> int:
        """Return how many slots may be in use when a heavy hitter's request starts."""
        return max(1, ceil(limit * HEAVY_HITTER_SHARE))

    def is_heavy_hitter(self, now: float, workspace: str, limit: int) -> bool:
        """Return whether ``workspace`` demands far more than its share and the others.

        If all demand far more than the target can serve, none is marked: no workspace
        leaves slots unused.
        """
        demand = self._active.get(workspace)
        if demand is None:
            return False
        share = demand.weight / max(demand.weight, self._weight)
        if share > 1 / HEAVY_HITTER_RATIO:
            return False
        fair_demand = share * max(float(limit), self._total.rate_at(now))
        bound = RECOVERED_RATIO if demand.is_heavy_hitter else HEAVY_HITTER_RATIO
        demand.is_heavy_hitter = demand.rate_at(now) > bound * fair_demand
        return demand.is_heavy_hitter
