"""Chooses the target of a request: an owner of its prefix unless others are faster.

Load pattern: conversations that return to a target with their prefix in cache, and hot
prefixes that exceed the capacity of one target. Without affinity every return
recomputes its prompt; without the comparison of delays one popular prefix overloads its
owner while other targets are idle.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .messages import Candidate, ExclusionReason, SendReason

if TYPE_CHECKING:
    import random
    from collections.abc import Set

    from .messages import RequestArrived
    from .service_targets import ServiceTargets
    from .target_state import TargetState
    from .warm_prefixes import WarmPrefixes

# Owners considered for a prefix; the second and third serve the overflow of a hot one.
OWNER_COUNT = 3
# Targets considered beside the owners. Two random choices avoid the herding that
# results from picking the least loaded target by outdated reports.
RANDOM_CANDIDATES = 2
# Leading blocks that determine a prompt's owners. A conversation keeps its first blocks
# as it grows, so the key stays the same on every return.
AFFINITY_BLOCKS = 2


class TargetChoice:
    """The chosen target, the reason for it and all targets considered."""

    __slots__ = ("candidates", "is_last", "reason", "saved_seconds", "state")

    def __init__(
        self,
        state: TargetState,
        reason: SendReason,
        candidates: tuple[Candidate, ...],
        saved_seconds: float,
        is_last: bool,
    ) -> None:
        self.state = state
        # No other target remains for the request, not even a full one.
        self.is_last = is_last
        # Seconds of prefill expected to be saved by a warm prefix.
        self.saved_seconds = saved_seconds
        self.reason = reason
        self.candidates = candidates


def compute_affinity_key(block_keys: tuple[bytes, ...]) -> bytes:
    """Return the key that determines a prompt's owners; empty if it has no blocks."""
    if not block_keys:
        return b""
    return block_keys[min(len(block_keys), AFFINITY_BLOCKS) - 1]


def find_exclusion_reason(
    now: float, state: TargetState, request: RequestArrived, tried: Set[str]
) -> ExclusionReason | None:
    """Return why a target is excluded for the request; None if it is eligible."""
    if state.view.target in tried:
        return ExclusionReason.TRIED
    return state.find_exclusion_reason(now, request.backoff_key, request.weight_version)


def choose_target(
    now: float,
    targets: ServiceTargets,
    request: RequestArrived,
    tried: Set[str],
    warm: WarmPrefixes,
    random: random.Random,
) -> TargetChoice | None:
    """Choose the target with the least expected time to the first byte.

    Return None if no target is eligible.
    """
    if len(targets) == 0:
        return None

    def is_untried(state: TargetState) -> bool:
        return find_exclusion_reason(now, state, request, tried) is None

    def is_usable(state: TargetState) -> bool:
        probability = state.compute_selection_probability(now)
        return is_untried(state) and (
            probability >= 1.0 or random.random() < probability
        )

    key = compute_affinity_key(request.block_keys)
    owners = targets.find_owners(key, OWNER_COUNT, is_usable) if key else []
    considered = list(owners)
    for state in targets.pick_random(RANDOM_CANDIDATES, is_usable, random):
        if state not in considered:
            considered.append(state)
    considered = considered or targets.scan(is_untried, random)
    if not considered:
        return None
    warm_targets = warm.find(key)
    expected: list[float] = []
    saved_seconds: list[float] = []
    for position, state in enumerate(considered):
        # Until a response was received, only the first owner is assumed to be warm.
        is_probably_warm = state.view.target in warm_targets or (
            position == 0 and bool(owners)
        )
        prefill_tokens = _count_prefill_tokens(request, is_probably_warm)
        expected.append(state.estimate_first_byte(now, prefill_tokens))
        saved_seconds.append(
            (request.prompt_tokens - prefill_tokens) / state.prefill_rate
        )
    best = min(range(len(considered)), key=expected.__getitem__)
    reason = _get_reason(best, len(owners), len(considered))
    candidates = tuple(
        Candidate(state.view.target, seconds)
        for state, seconds in zip(considered, expected, strict=True)
    )
    chosen = considered[best]
    others = (state for state in targets.list_first() if state is not chosen)
    is_last = all(_is_ineligible(now, state, request, tried) for state in others)
    return TargetChoice(chosen, reason, candidates, saved_seconds[best], is_last)


def _is_ineligible(
    now: float, state: TargetState, request: RequestArrived, tried: Set[str]
) -> bool:
    """Return whether a target is excluded even if it had capacity."""
    reason = find_exclusion_reason(now, state, request, tried)
    return reason not in (None, ExclusionReason.REFUSED)


def _count_prefill_tokens(request: RequestArrived, is_probably_warm: bool) -> int:
    if not is_probably_warm:
        return request.prompt_tokens
    cached = len(request.block_keys) * request.block_tokens
    return max(0, request.prompt_tokens - cached)


def _get_reason(position: int, owners: int, considered: int) -> SendReason:
    if considered == 1:
        return SendReason.ONLY_CANDIDATE
    if owners and position == 0:
        return SendReason.PREFIX
    if position < owners:
        return SendReason.PREFIX_SPREAD
    return SendReason.LEAST_DELAY
