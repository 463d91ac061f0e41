"""Exchanges between gateways the load that each has in flight at targets.

Load pattern: several gateways send to the same few engines. Each knows the load of the
others by their hints, which are up to a quarter of a second old when they arrive.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from bamboopier_decisions.forwarding.target_state import Load

from .hints import DemandHint, LoadHint, TargetLoadHint

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.fleet import Fleet
    from bamboopier_decisions.forwarding.target_state import TargetState

# Age after which a hint is discarded.
STALE_SECONDS = 1.2
# Age up to which a byte from a target without requests in flight is reported: a gateway
# whose single request there got no response learns that the target responds.
RECENT_BYTE_SECONDS = 0.5
# Maximum number of targets in one hint, the busiest first, so that it fits a datagram.
MAX_TARGETS = 24
# Maximum number of services whose demand is in one hint, the largest first.
MAX_DEMANDS = 6
# Maximum number of workspaces in each of them. Those that are left out ask for less, so
# that they pass for within their part.
MAX_WORKSPACES = 6


class LoadHints:
    """Creates this gateway's load hints and applies those of the others."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        # The last hint of each gateway, and when it arrived.
        self._received: dict[str, tuple[float, LoadHint]] = {}
        # The sums of these by target; the states of targets hold the same objects.
        self._totals: dict[str, Load] = {}

    def record(self, now: float, hint: LoadHint) -> bool:
        """Apply the loads of a hint; return False if a later one has arrived before.

        They replace those of the sender at once: a request that waits less than the
        interval between hints would not see that a target has room.
        """
        last_received = self._received.get(hint.sender)
        if last_received is not None:
            last_number = (last_received[1].started_ms, last_received[1].number)
            if (hint.started_ms, hint.number) <= last_number:
                return False
            self._add(last_received[1], -1)
        self._received[hint.sender] = (now, hint)
        self._add(hint, 1)
        return True

    def apply(self, now: float) -> None:
        """Set the loads and demands of the other gateways by their last hints."""
        loads: dict[str, Load] = {}
        demands: dict[str, list[float]] = {}
        workspaces: dict[str, Counter[str]] = {}
        for name, (received_at, hint) in list(self._received.items()):
            if now - received_at > STALE_SECONDS:
                del self._received[name]
                continue
            for demand in hint.demands:
                demands.setdefault(demand.service, []).append(demand.per_second)
                counts = workspaces.setdefault(demand.service, Counter())
                counts.update(dict(demand.workspaces))
            for load_hint in hint.loads:
                loads.setdefault(load_hint.target, Load()).add(_make_load(load_hint, 1))
        self._totals = loads
        self._fleet.set_other_loads(loads)
        self._fleet.demand_shares.set_others(demands)
        self._fleet.workspace_demands.set_others(workspaces)

    def _add(self, hint: LoadHint, sign: int) -> None:
        """Add the loads of a hint to the sums, or subtract them."""
        for load_hint in hint.loads:
            total = self._totals.get(load_hint.target)
            if total is None:
                total = self._totals[load_hint.target] = Load()
            self._fleet.set_other_load(load_hint.target, total)
            total.add(_make_load(load_hint, sign))

    def list_loads(self, now: float) -> list[TargetLoadHint]:
        """Return what this gateway has in flight, at stalled and busy targets first."""
        states = (self._fleet.find(name) for name in self._fleet.names)
        used = [s for s in states if s is not None and _is_used(now, s)]
        used.sort(key=lambda s: (not _is_stalled(now, s), -s.own_load.requests))
        return [_make_load_hint(now, s) for s in used[:MAX_TARGETS]]

    def list_demands(self, now: float) -> list[DemandHint]:
        """Return this gateway's requests for services that are divided by them."""
        states = (self._fleet.find(name) for name in self._fleet.names)
        services = {s.entry.service for s in states if s is not None and _is_divided(s)}
        count = self._fleet.demand_shares.count_per_second
        by_workspace = self._fleet.workspace_demands.count_own
        demands = [
            DemandHint(
                name,
                round(count(now, name), 2),
                by_workspace(now, name).most_common(MAX_WORKSPACES),
            )
            for name in services
        ]
        demands.sort(key=lambda demand: (-demand.per_second, demand.service))
        return demands[:MAX_DEMANDS]


def _is_used(now: float, state: TargetState) -> bool:
    """Return whether a target has requests in flight, or had some a moment ago."""
    byte_age = now - state.stall_detector.last_byte_at
    is_known = byte_age < RECENT_BYTE_SECONDS or _is_stalled(now, state)
    return state.own_load.requests > 0 or is_known


def _is_divided(state: TargetState) -> bool:
    """Return whether gateways use a target by the share of requests that each gets."""
    is_busy = state.service.engine is None and state.requests >= state.slots
    return state.rate_limit.in_force or state.service_time.is_contended or is_busy


def _is_stalled(now: float, state: TargetState) -> bool:
    return state.stall_detector.find_reported_silence(now) > 0


def _make_load_hint(now: float, state: TargetState) -> TargetLoadHint:
    detector = state.stall_detector
    byte_age = now - detector.last_byte_at
    return TargetLoadHint(
        state.entry.name,
        state.own_load.requests,
        state.own_load.memory,
        state.own_load.pending_prefill,
        # Rounded up: a byte must not look later than it was.
        math.ceil(byte_age * 1000) if math.isfinite(byte_age) else None,
        int(detector.find_reported_silence(now) * 1000),
    )


def _make_load(hint: TargetLoadHint, sign: int) -> Load:
    return Load(sign * hint.requests, sign * hint.memory, sign * hint.pending_prefill)
