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

import msgspec

from ..routing.rendezvous import rank
from .gateway_headroom import HINT_DELAY_SECONDS
from .rollout_order import list_loading_soon

if TYPE_CHECKING:
    import random
    from collections.abc import Set

    from .fleet import Fleet
    from .prompt import Prompt
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
# Share of an engine's memory above which a request is not sent, by its priority, 0 the
# most urgent. Otherwise long prompts of low priority would fill the memory, and short
# urgent ones would wait behind them: an engine that is full preempts running requests
# and recomputes them.
MAX_MEMORY_SHARES = (1.05, 0.98, 0.9)
# Share of its latency objective that a request's own prefill and what is pending before
# it may take, by priority. Engines prefill urgent prompts before the others that are
# pending; less urgent ones have to wait for all of it, and leave headroom.
PREFILL_BACKLOG_SHARES = (1.5, 1.1, 0.7)
# Number of the best targets whose exact load is asked for: with the load of two chosen
# at random, the longest queue already grows very slowly with the number of targets.
MAX_BEST = 4
# Requests that other gateways may have sent to a target without an engine since they
# last told their load, as a multiple of its slots.
MAX_UNKNOWN_LOAD = 0.5
# Multiple of its share of the callers up to which a gateway uses the free slots of a
# contended service: the others do not use all of theirs.
DEMAND_SHARE_FACTOR = 1.25
# Share of what is left of its objective within which a request sent to a busy target
# without an engine has to be answered by the estimate: other gateways send there too.
PLAIN_OBJECTIVE_SHARE = 0.85


class Demand:
    """What one request needs of a target."""

    __slots__ = (
        "exceeds_part",
        "excluded_versions",
        "fetched",
        "is_new",
        "latency_objective",
        "priority",
        "prompt",
        "service",
        "seconds_left",
        "software_version",
    )

    def __init__(
        self,
        service: str,
        priority: int,
        prompt: Prompt | None,
        latency_objective: float,
        fetched: int = 0,
        software_version: str | None = None,
        *,
        is_new: bool = False,
        excluded_versions: frozenset[str] = frozenset(),
        seconds_left: float | None = None,
        exceeds_part: bool = False,
    ) -> None:
        self.service = service
        self.priority = priority
        self.prompt = prompt
        # Seconds to the first byte within which the response has its full value.
        self.latency_objective = latency_objective
        # Leading tokens of the prompt that any target could fetch from a store.
        self.fetched = fetched
        # Probably no target has computed the shared parts of the prompt yet.
        self.is_new = is_new
        # That of the target that began the stream; None if the stream has not begun.
        self.software_version = software_version
        # Software versions whose targets the request is not sent to.
        self.excluded_versions = excluded_versions
        # What is left of its latency objective, below 0 once it is late.
        self.seconds_left = latency_objective if seconds_left is None else seconds_left
        # Its workspace asks for more than its part: it waits for a free slot.
        self.exceeds_part = exceeds_part

    @property
    def max_backlog_seconds(self) -> float:
        """Return the prefill, its own included, up to which the request is sent."""
        return self.latency_objective * PREFILL_BACKLOG_SHARES[self._priority_index]

    @property
    def max_memory_share(self) -> float:
        """Return the share of an engine's memory up to which the request is sent."""
        return MAX_MEMORY_SHARES[self._priority_index]

    @property
    def _priority_index(self) -> int:
        if self.software_version is not None:
            # A stream that has begun has few targets to choose from.
            return 0
        return min(max(self.priority, 0), len(PREFILL_BACKLOG_SHARES) - 1)


class WeightVersionRange(msgspec.Struct, frozen=True):
    """The newest version of a model and the oldest that may still serve; 0 for any."""

    newest: int = 0
    oldest: int = 0


class LimitedTargets(msgspec.Struct, frozen=True):
    """Targets that accept no request of this gateway until a time that is known.

    They have asked for rest, or its share of their rate limits is used up.
    """

    # Those that the request has not been sent to.
    count: int
    # There is no other target that the request has not been sent to.
    covers_all: bool
    # When the first of ``count`` accepts a request again; infinity without any.
    next_at: float
    # Requests a second that those in ``count`` accept together from this gateway.
    gateway_rate: float
    # When the first of all targets, tried or not, accepts requests of this gateway.
    free_at: float


class Placement:
    """The result of choosing a target."""

    __slots__ = ("best", "known", "limited", "open", "usable")

    def __init__(
        self,
        best: list[TargetState],
        known: int,
        open_: int,
        usable: int,
        limited: LimitedTargets,
    ) -> None:
        # Those with the least expected time to the first byte, the best one first: of
        # those with capacity, or of all usable ones if none has capacity.
        self.best = best
        # Numbers of targets: registered and open ones that could hold the request when
        # idle, those that may be tried, and those with capacity.
        self.known = known
        self.usable = usable
        self.open = open_
        # The targets that get no request now because of what they reported.
        self.limited = limited

    @property
    def state(self) -> TargetState | None:
        """Return the chosen target; None if all are full, or none is usable."""
        return self.best[0] if self.open else None


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
    if demand.exceeds_part and state.service_time.is_contended:
        share = fleet.demand_shares.find_share(now, demand.service, fleet.gateway_count)
        share = min(1.0, share * DEMAND_SHARE_FACTOR)
        turnover = state.service_time.count_turnover(state.slots, HINT_DELAY_SECONDS)
        slots = free + turnover
        return free > 0 and state.headroom.allows_request(now, slots, share, random)
    if free > 0:
        return True
    if demand.exceeds_part:
        return False
    seconds = state.service_time.estimate(
        state.requests, state.slots, demand.latency_objective
    )
    return seconds <= demand.seconds_left * PLAIN_OBJECTIVE_SHARE


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

    # Gateways that all know the same old loads would all choose the same target.
    unknown_load = MAX_UNKNOWN_LOAD * (1 - 1 / max(1, gateway_count))

    def estimate_seconds(state: TargetState) -> float:
        remote = (
            0.0 if state.entry.data_centre == data_centre else REMOTE_PENALTY_SECONDS
        )
        failing = state.circuit_breaker.failure_rate * FAILURE_PENALTY_SECONDS
        # Whatever delays the requests that wait there delays this one, too.
        silent = state.stall_detector.find_delay(now)
        jitter = random.random() * 1e-4
        if prompt is None:
            unknown = random.random() * unknown_load
            return state.requests / state.slots + remote + failing + silent + unknown
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
