"""Chooses the target of a request, or reports that all are full.

Load pattern: prompts that share long prefixes, over engines of which each caches some
of them. Placement by load alone recomputes every prompt everywhere; placement by prefix
alone floods the owner of a popular prefix while other engines are idle. The expected
time to the first token covers both: what has to be prefilled here, and what is still to
be prefilled before it.
"""

from __future__ import annotations

import heapq
import math
from typing import TYPE_CHECKING

from ..routing.rendezvous import rank
from .demand import Demand, LimitedTargets, Placement, WeightVersionRange
from .rollout_order import list_loading_soon
from .target_capacity import has_capacity

if TYPE_CHECKING:
    import random
    from collections.abc import Set

    from .fleet import Fleet
    from .target_state import TargetState

# Share of the time to a first token without any prefill that one running request adds:
# it takes part in each step of the batch.
RUNNING_REQUEST_SHARE = 0.01
# Probability that the first owner of a prompt's prefix has it cached when this gateway
# has not sent it there itself: the other gateways choose the same owner.
OWNER_HIT_PROBABILITY = 0.8
# Cost of a token fetched from a store, in prefilled tokens: the engine prefills other
# prompts while it waits.
FETCHED_TOKEN_COST = 0.15
# Weight of a shared token that is recomputed here though another engine has it cached:
# in addition to its own time it delays the prompts behind it.
REPEATED_PREFILL_WEIGHT = 6.0
# Penalty in seconds for a target in another data centre: the round trip, and its price
# in bytes.
REMOTE_PENALTY_SECONDS = 0.004
# Penalty in seconds at a failure rate of 1; a target that fails a tenth of its requests
# is as bad as one that is slower by a tenth of this.
FAILURE_PENALTY_SECONDS = 2.0
# Penalty in seconds for older weights: a response made with them is worth a fifth less.
OLD_WEIGHTS_PENALTY_SECONDS = 0.1
# A response is long from this many expected tokens: it delays a target that is to load
# new weights by half a second and more.
LONG_OUTPUT_TOKENS = 100
# Penalty in seconds for a long response at a target that loads new weights soon: the
# delay of the load.
LOADING_SOON_PENALTY_SECONDS = 0.5
# Random seconds that spread requests over targets that are as good as each other.
TIE_BREAK_SECONDS = 1e-4
# Number of the best targets whose exact load is asked for: with the load of two chosen
# at random, the longest queue already grows very slowly with the number of targets.
MAX_BEST = 4
# Requests that other gateways may have sent to a target without an engine since they
# last told their load, as a multiple of its slots.
MAX_UNKNOWN_LOAD = 0.5
# Number of gateways from which on the known load of such a target weighs less: it is
# then mostly what others have sent, and a quarter second old.
FEW_GATEWAYS = 4


def choose_target(
    now: float,
    fleet: Fleet,
    demand: Demand,
    tried: Set[str],
    weights: WeightVersionRange,
    data_centre: str,
    random: random.Random,
    *,
    prefer_exact: bool = False,
) -> Placement:
    """Return the target with the least expected time to the first byte.

    Targets with weights older than the oldest that is allowed are excluded. With
    ``prefer_exact`` only targets whose exact load is known are compared, if any of them
    has capacity: others look idle because little is known of them.
    """
    listed = fleet.list_targets(demand.service, now)
    for state in listed:
        state.select_load(now)
    known = [state for state in listed if _fits(state, demand)]
    candidates = [
        state
        for state in known
        if state.entry.name not in tried
        and _can_try(now, fleet, state)
        and _serves(state, demand, weights.oldest)
    ]
    limited = _find_limited(now, fleet, known)
    usable = [state for state in candidates if state not in limited]
    usable = _exclude_stalled(now, usable)
    if _is_long(demand):
        usable = _exclude_draining(now, usable)
    with_capacity = [
        state for state in usable if has_capacity(now, fleet, state, demand, random)
    ]
    loading_soon = _find_loading_soon(known, demand, weights.newest)
    owner = _find_owner(usable, demand)
    candidates = with_capacity or usable
    if prefer_exact:
        exact = [state for state in with_capacity if state.is_load_exact(now)]
        candidates = exact or candidates
    best = (
        _rank(
            now,
            candidates,
            demand,
            owner,
            loading_soon,
            data_centre,
            random,
            fleet.gateway_count,
        )
        if candidates
        else []
    )
    described = _describe_limited(now, limited, known, tried)
    return Placement(best, len(known), len(with_capacity), len(usable), described)


def _fits(state: TargetState, demand: Demand) -> bool:
    """Return whether an idle target could serve the request.

    A stream goes on only at the software version that began it. An engine rejects a
    prompt larger than its memory as if it were full, always: a caller would wait for
    capacity that never becomes free, and retry in vain.
    """
    if demand.software_version not in (None, state.entry.software_version):
        return False
    if state.entry.software_version in demand.excluded_versions:
        return False
    engine = state.service.engine
    if engine is None or demand.prompt is None:
        return True
    return demand.prompt.tokens_in <= engine.memory_tokens


def _can_try(now: float, fleet: Fleet, state: TargetState) -> bool:
    if now < state.busy_until or not state.circuit_breaker.allows_request(now):
        return False
    if not state.rest.allows_request(now):
        return False
    rate = state.service.cold_per_second
    return rate <= 0 or state.cold_start.may_send(
        now, rate, fleet.gateway_count, fleet.gateway_index
    )


def _exclude_stalled(now: float, states: list[TargetState]) -> list[TargetState]:
    """Return the targets that respond; if none does, those that may be probed.

    While others respond, a request is better refused than sent to a stalled target:
    its caller can return at once, and would leave that target without a response.
    """
    responding = [s for s in states if s.stall_detector.allows_request(now)]
    return responding or [s for s in states if s.stall_detector.allows_probe]


def _find_limited(
    now: float, fleet: Fleet, states: list[TargetState]
) -> dict[TargetState, float]:
    """Return the targets that what they reported excludes now, and until when."""
    limited = {}
    for state in states:
        allowed_at = state.rate_limit.find_next(
            now,
            fleet.gateway_count,
            fleet.gateway_index,
            _find_share(now, fleet, state),
        )
        next_at = max(allowed_at, state.rest.until)
        if next_at > now:
            limited[state] = next_at
    return limited


def _find_share(now: float, fleet: Fleet, state: TargetState) -> float | None:
    if not state.rate_limit.in_force:
        return None
    return fleet.demand_shares.find_share(now, state.entry.service, fleet.gateway_count)


def _describe_limited(
    now: float,
    limited: dict[TargetState, float],
    known: list[TargetState],
    tried: Set[str],
) -> LimitedTargets:
    untried = [state for state in known if state.entry.name not in tried]
    waiting = [state for state in untried if state in limited]
    return LimitedTargets(
        len(waiting),
        len(waiting) == len(untried),
        min((limited[state] for state in waiting), default=math.inf),
        sum(state.rate_limit.gateway_rate for state in waiting),
        min((limited.get(state, now) for state in known), default=now),
    )


def _serves(state: TargetState, demand: Demand, oldest_version: int) -> bool:
    if demand.prompt is None or oldest_version == 0:
        return True
    return state.versions.get(demand.prompt.model, 0) >= oldest_version


def _is_long(demand: Demand) -> bool:
    prompt = demand.prompt
    return prompt is not None and prompt.tokens_out >= LONG_OUTPUT_TOKENS


def _exclude_draining(now: float, states: list[TargetState]) -> list[TargetState]:
    """Return the targets that accept long responses; all if none of them does."""
    return [state for state in states if now >= state.short_answers_until] or states


def _find_loading_soon(
    known: list[TargetState], demand: Demand, newest: int
) -> frozenset[str]:
    """Return the targets that load new weights soon."""
    if demand.prompt is None or not newest:
        return frozenset()
    model = demand.prompt.model
    versions = {s.entry.name: s.versions.get(model, 0) for s in known}
    if min(versions.values(), default=newest) >= newest:
        return frozenset()
    return list_loading_soon(versions, newest)


def _find_owner(states: list[TargetState], demand: Demand) -> str:
    """Return the target that owns a prompt's prefix, also while it is full.

    A new prompt has none: its owner would have to compute all of it like any other
    target, and prompts would queue there while others are idle.
    """
    if demand.prompt is None or not demand.prompt.affinity or demand.is_new:
        return ""
    names = [state.entry.name for state in states]
    return next(iter(rank(demand.prompt.affinity.encode(), names, 1)), "")


def _rank(
    now: float,
    states: list[TargetState],
    demand: Demand,
    owner: str,
    loading_soon: Set[str],
    data_centre: str,
    random: random.Random,
    gateway_count: int,
) -> list[TargetState]:
    prompt = demand.prompt
    newest = 0
    is_long = _is_long(demand)
    if prompt is not None:
        newest = max(state.versions.get(prompt.model, 0) for state in states)

    # Gateways that all know the same old loads would all choose the same target. The
    # more of them there are, the less an old load says of the one on arrival.
    unknown_load = MAX_UNKNOWN_LOAD * (1 - 1 / max(1, gateway_count))
    load_weight = min(1.0, FEW_GATEWAYS / max(1, gateway_count)) ** 2

    def estimate_seconds(state: TargetState) -> float:
        remote = (
            0.0 if state.entry.data_centre == data_centre else REMOTE_PENALTY_SECONDS
        )
        failing = state.circuit_breaker.failure_rate * FAILURE_PENALTY_SECONDS
        # Whatever delays the requests that wait there delays this one, too.
        silent = state.stall_detector.find_delay(now)
        jitter = random.random() * TIE_BREAK_SECONDS
        if prompt is None:
            unknown = random.random() * unknown_load
            load = state.requests / state.slots * load_weight + unknown
            return load + remote + failing + silent + jitter
        cached = state.cached_parts.count_cached(prompt)
        shared = sum(part.tokens for part in prompt.shared_parts)
        repeated = shared - max(cached, demand.fetched)
        if state.entry.name == owner:
            repeated = int(repeated * (1 - OWNER_HIT_PROBABILITY))
        fetched_cost = max(0, demand.fetched - cached) * FETCHED_TOKEN_COST
        own = prompt.tokens_in - shared
        backlog = (
            state.pending_prefill
            + own
            + fetched_cost
            + repeated * REPEATED_PREFILL_WEIGHT
        ) / state.prefill_rate.per_second
        base_seconds = state.prefill_rate.base_seconds
        running = state.requests * base_seconds * RUNNING_REQUEST_SHARE
        outdated = (
            OLD_WEIGHTS_PENALTY_SECONDS
            if state.versions.get(prompt.model, 0) < newest
            else 0.0
        )
        if is_long and state.entry.name in loading_soon:
            outdated += LOADING_SOON_PENALTY_SECONDS
        return backlog + running + remote + failing + silent + outdated + jitter

    return heapq.nsmallest(MAX_BEST, states, key=estimate_seconds)
