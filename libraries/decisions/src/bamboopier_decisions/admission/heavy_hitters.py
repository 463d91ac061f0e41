"""How much of a target a workspace far above its share may use.

Load pattern: one workspace asks for a hundred times its share while the others ask for
less than theirs. Fair queueing alone gives every slot that falls free to somebody, so
the target is always full: each request of the others waits for a slot and then shares
a full batch, and their first tokens come several times later than without the hot
caller. Here a workspace that asks for ``HEAVY_HITTER_RATIO`` times its share starts only while
less than ``HEAVY_HITTER_SHARE`` of the limit is in use, so the others find both a free slot and
an engine that is not full. When only one workspace is active, all is its share.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from math import ceil, exp

# An engine at this part of its concurrency limit gives much of its throughput, while
# its first tokens come about as fast as from an idle one.
HEAVY_HITTER_SHARE = 0.25
# Chance bunches of a caller within its share stay below this.
HEAVY_HITTER_RATIO = 3.0
# A workspace stays marked until it asks for no more than its share: gateways that were
# told that a target is full for it hold back all but probes, so it seems to ask for
# less than it does.
RECOVERED_RATIO = 1.0
# A workspace that asked within this time has a share, and what it asks for is averaged
# over it: several service times.
ACTIVE_WINDOW_SECONDS = 10.0


@dataclass(slots=True)
class _Demand:
    """Seconds of work asked for a second, as of ``updated_at``."""

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
    """Knows which workspaces are active and how much each asks for."""

    def __init__(self) -> None:
        # Least recently active first.
        self._active: OrderedDict[str, _Demand] = OrderedDict()
        self._weight = 0.0
        self._total = _Demand(0.0, 0.0)

    def record_arrival(
        self, now: float, workspace: str, weight: float, cost: float
    ) -> None:
        """Count what a workspace asks for, whether or not it gets it."""
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
        """Return how many may run before those far above their share must wait."""
        return max(1, ceil(limit * HEAVY_HITTER_SHARE))

    def is_heavy_hitter(self, now: float, workspace: str, limit: int) -> bool:
        """Say whether ``workspace`` asks for much more than its share and the others.

        When all ask for much more than there is, nobody's slots are idle to be lent.
        """
        demand = self._active.get(workspace)
        if demand is None:
            return False
        share = demand.weight / max(demand.weight, self._weight)
        if share > 1 / HEAVY_HITTER_RATIO:
            return False
        usual = share * max(float(limit), self._total.rate_at(now))
        bound = RECOVERED_RATIO if demand.is_heavy_hitter else HEAVY_HITTER_RATIO
        demand.is_heavy_hitter = demand.rate_at(now) > bound * usual
        return demand.is_heavy_hitter
