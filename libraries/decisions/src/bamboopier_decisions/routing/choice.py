"""Choose among targets: the prefix's owners unless they are much slower.

Load pattern: returning prompts whose context is warm at one target, and hot prefixes
that one target cannot carry. Without affinity every return recomputes its prompt;
without the bound one popular catalogue floods its owner while others idle.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .messages import Candidate, SendReason
from .rendezvous import rank

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from .target_state import TargetState

# Owners weighed for a prefix; the second and third take a hot prefix's overflow.
OWNERS = 3
# Others weighed beside the owners: two random choices avoid the herd that always
# picking the least loaded of stale reports would form.
RANDOM_OTHERS = 2
# Leading blocks that name a prompt's owner. A conversation keeps its first blocks as
# it grows, so the key stays the same on every return.
AFFINITY_BLOCKS = 2


class Choice:
    """The chosen target with the reason and all that were weighed."""

    __slots__ = ("candidates", "reason", "state")

    def __init__(
        self,
        state: TargetState,
        reason: SendReason,
        candidates: tuple[Candidate, ...],
    ) -> None:
        self.state = state
        self.reason = reason
        self.candidates = candidates


def choose_target(
    usable: Sequence[TargetState],
    block_keys: tuple[bytes, ...],
    prompt_tokens: int,
    block_tokens: int,
    random: random.Random,
) -> Choice | None:
    """Pick the target with the least expected time to the first byte."""
    if not usable:
        return None
    by_name = {state.view.target: state for state in usable}
    owners = _rank_owners(by_name, block_keys)
    others = [state for state in usable if state.view.target not in owners]
    drawn = random.sample(others, min(RANDOM_OTHERS, len(others)))
    warm_tokens = min(prompt_tokens, len(block_keys) * block_tokens)
    candidates: list[Candidate] = []
    for position, name in enumerate(owners):
        warm = warm_tokens if position == 0 else 0
        expected = by_name[name].expect_first_byte(prompt_tokens - warm)
        candidates.append(Candidate(name, expected))
    for state in drawn:
        expected = state.expect_first_byte(prompt_tokens)
        candidates.append(Candidate(state.view.target, expected))
    best = min(candidates, key=lambda candidate: candidate.expected)
    reason = _explain(best.target, owners, len(candidates))
    return Choice(by_name[best.target], reason, tuple(candidates))


def _rank_owners(
    by_name: dict[str, TargetState], block_keys: tuple[bytes, ...]
) -> list[str]:
    if not block_keys:
        return []
    key = block_keys[min(len(block_keys), AFFINITY_BLOCKS) - 1]
    return rank(key, by_name, OWNERS)


def _explain(target: str, owners: list[str], candidates: int) -> SendReason:
    if candidates == 1:
        return SendReason.ONLY_CANDIDATE
    if owners and target == owners[0]:
        return SendReason.PREFIX
    if target in owners:
        return SendReason.PREFIX_SPREAD
    return SendReason.LEAST_DELAY
