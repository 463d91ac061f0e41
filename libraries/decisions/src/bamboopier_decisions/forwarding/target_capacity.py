"""Decides whether a target can accept one more request without a long wait.

Load pattern: several gateways fill the same targets at once, each with a view of the
others that is up to a quarter second old. What is sent beyond what a target can answer
in time delays all that is sent after it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .gateway_headroom import HINT_DELAY_SECONDS

if TYPE_CHECKING:
    import random

    from .demand import Demand
    from .fleet import Fleet
    from .target_state import TargetState

# Share of what is left of its objective within which a request sent to a busy target
# without an engine has to be answered by the estimate: other gateways send there too.
PLAIN_OBJECTIVE_SHARE = 0.85
# Multiple of its share of the callers up to which a gateway uses the free slots of a
# contended service: the others do not use all of theirs.
DEMAND_SHARE_FACTOR = 1.25
# Slots below which a gateway's share of a target is used at a pace.
MAX_PACED_SLOTS = 2.0
# Parts of the slots that become free until hints arrive, and of those that look free
# (what is taken beyond all slots is subtracted), by which the pace is set: at nine
# tenths of what targets carry, requests that come at random moments wait too long.
PACED_TURNOVER_PART = 0.85
PACED_FREE_PART = 0.3


def has_capacity(
    now: float,
    fleet: Fleet,
    state: TargetState,
    demand: Demand,
    random: random.Random,
) -> bool:
    """Return whether a target can accept one more such request without a long wait."""
    engine = state.service.engine
    prompt = demand.prompt
    if engine is None or prompt is None:
        return _has_plain_capacity(now, fleet, state, demand, random)
    if state.requests == 0:
        return True
    if state.requests >= state.slots:
        return False
    memory = state.count_memory(prompt)
    memory_headroom = engine.memory_tokens * demand.max_memory_share - state.memory
    if memory > memory_headroom:
        return False
    max_prefill = demand.max_backlog_seconds * state.prefill_rate.per_second
    prefill = state.count_prefill(prompt)
    prefill_headroom = max_prefill - state.pending_prefill - prefill
    if prefill_headroom < 0:
        return False
    if state.is_load_exact(now):
        return True
    gateway_count = fleet.gateway_count
    return state.headroom.allows_prefill(
        now, prefill, prefill_headroom, gateway_count
    ) and state.headroom.allows_memory(now, memory, memory_headroom, gateway_count)


def _has_plain_capacity(
    now: float,
    fleet: Fleet,
    state: TargetState,
    demand: Demand,
    random: random.Random,
) -> bool:
    """Return whether a target without an engine answers in time.

    A busy one queues requests in the order in which they come. What waits there delays
    all others, so only what can still be in time may wait there, and while targets are
    contended each gateway uses its part of the slots that look free.
    """
    free = state.slots - state.requests
    if demand.exceeds_part:
        return _has_spare_capacity(now, fleet, state, free, random)
    if free > 0:
        return True
    if free == 0 and not state.service_time.is_settled:
        # Refusing all that a few misleading answers forbid would bring no other answer.
        return True
    seconds = state.service_time.estimate(
        state.requests, state.slots, demand.latency_objective
    )
    return seconds <= demand.seconds_left * PLAIN_OBJECTIVE_SHARE


def _has_spare_capacity(
    now: float, fleet: Fleet, state: TargetState, free: int, random: random.Random
) -> bool:
    """Return whether a target has room for a workspace beyond its part.

    Many gateways that all see the same free slot would all use it, and none a moment
    later. A gateway whose share is small therefore sends at an even pace, which depends
    little on what it knows of the slots.
    """
    service = state.entry.service
    share = fleet.demand_shares.find_share(now, service, fleet.gateway_count)
    turnover = state.service_time.count_turnover(state.slots, HINT_DELAY_SECONDS)
    if (
        state.service_time.is_known
        and share * (state.slots + turnover) < MAX_PACED_SLOTS
    ):
        due = turnover * PACED_TURNOVER_PART + free * PACED_FREE_PART
        rate = max(0.0, due) * share / HINT_DELAY_SECONDS
        return state.headroom.allows_at_pace(now, rate, random)
    if free <= 0 or not state.service_time.is_contended:
        return free > 0
    share = min(1.0, share * DEMAND_SHARE_FACTOR)
    return state.headroom.allows_request(now, free + turnover, share, random)
