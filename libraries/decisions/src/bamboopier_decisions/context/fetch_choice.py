"""Fetch a prompt's missing blocks from the store, or recompute them.

Load pattern: prompts that return after hours, over links that are sometimes slow.
Always fetching makes a caller wait for a slow link while the accelerator idles; always
recomputing keeps accelerators busy with what the store already has. A prefix of the
missing blocks is fetched and the rest recomputed, where the split is cheapest.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum

# A fetch that takes this many times its prediction is on a link that has changed.
TIMEOUT_FACTOR = 2.0
# Least seconds before a fetch counts as late; below it is scheduling noise.
MIN_TIMEOUT_SECONDS = 0.05


class FetchReason(StrEnum):
    """Why blocks are fetched or recomputed."""

    RESIDENT = "resident"
    NO_STORE = "no-store"
    FETCH = "fetch"
    FETCH_PART = "fetch-part"
    RECOMPUTE_IS_QUICKER = "recompute-is-quicker"


@dataclass(frozen=True, slots=True)
class CostWeights:
    """What a second of each resource counts beside a second of waiting."""

    recompute: float
    link: float


# Fosse's callers wait on a dark road: only the time to the first token counts.
FIRST_TOKEN_WEIGHTS = CostWeights(recompute=0.0, link=0.0)
# Kaaspost's catalogues recur all day: a second of prefill is also taken from other
# callers and counts twice; a second of link delays other fetches and counts a quarter.
RECOMPUTE_WEIGHTS = CostWeights(recompute=1.0, link=0.25)
PRESETS = {"first-token": FIRST_TOKEN_WEIGHTS, "recompute": RECOMPUTE_WEIGHTS}


@dataclass(frozen=True, slots=True)
class FetchConditions:
    """What is known when a request arrives whose engine lacks blocks."""

    # Missing blocks, a run of the prompt's chain.
    blocks: int
    block_bytes: float
    block_tokens: int
    # Tokens a second and bytes a second as measured now.
    prefill_rate: float
    link_rate: float
    # Bytes the budget lets go at once (negative: others wait), and its rate.
    available_bytes: float
    budget_rate: float


@dataclass(frozen=True, slots=True)
class FetchPlan:
    """How many leading missing blocks to fetch, and when to give up on them."""

    blocks: int
    reason: FetchReason
    # Seconds.
    predicted: float = 0.0
    timeout: float = 0.0


def choose_fetch(conditions: FetchConditions, weights: CostWeights) -> FetchPlan:
    """Return the split with the least weighted cost, the fewest blocks on a tie."""
    costs = [
        _weigh(conditions, weights, count) for count in range(conditions.blocks + 1)
    ]
    best = costs.index(min(costs))
    if best == 0:
        return FetchPlan(0, FetchReason.RECOMPUTE_IS_QUICKER)
    predicted = predict_transfer_seconds(conditions, best)
    saved = best * conditions.block_tokens / conditions.prefill_rate
    # However late the store is, the caller waits no longer for it than recomputing
    # the same blocks would have cost (as the preset weighs it).
    worth = saved * (1 + weights.recompute) / (1 + weights.link)
    timeout = max(predicted * TIMEOUT_FACTOR, MIN_TIMEOUT_SECONDS)
    reason = FetchReason.FETCH if best == conditions.blocks else FetchReason.FETCH_PART
    return FetchPlan(best, reason, predicted, min(worth, timeout))


def is_worth_exporting(conditions: FetchConditions, weights: CostWeights) -> bool:
    """Say whether a block would be fetched again at the budget's lasting rate.

    Where recomputing is quicker, an export fills link and store for nobody.
    """
    lasting = replace(conditions, blocks=1, available_bytes=0.0)
    return choose_fetch(lasting, weights).blocks == 1


def predict_transfer_seconds(conditions: FetchConditions, blocks: int) -> float:
    """Return the seconds that fetching ``blocks`` blocks takes on the link now."""
    size = blocks * conditions.block_bytes
    on_link = size / conditions.link_rate
    in_budget = (size - conditions.available_bytes) / conditions.budget_rate
    return max(on_link, in_budget)


def _weigh(conditions: FetchConditions, weights: CostWeights, fetched: int) -> float:
    recomputed = (conditions.blocks - fetched) * conditions.block_tokens
    prefill = recomputed / conditions.prefill_rate
    transfer = predict_transfer_seconds(conditions, fetched) if fetched else 0.0
    return transfer * (1 + weights.link) + prefill * (1 + weights.recompute)
