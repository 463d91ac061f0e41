"""Decides whether to fetch a prompt's missing blocks or to recompute them.

Load pattern: prompts that return after hours, over links that are sometimes slow.
Always fetching makes a caller wait for a slow link while the accelerator idles; always
recomputing keeps accelerators busy with what the store already has. A prefix of the
missing blocks is fetched and the rest recomputed, split where the cost is lowest.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum

# The speed of the link has changed when a fetch takes this many times its prediction.
TIMEOUT_FACTOR = 2.0
# Shorter delays are scheduling noise.
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
    """Extra cost of a second of each resource, beside the second of waiting."""

    recompute: float
    link: float


# For callers who wait for each response: only the time to the first token counts.
FIRST_TOKEN_WEIGHTS = CostWeights(recompute=0.0, link=0.0)
# For catalogues whose prompts recur all day: a second of prefill is also taken from
# other callers and counts twice; a second of link delays other fetches and costs a
# quarter more.
RECOMPUTE_WEIGHTS = CostWeights(recompute=1.0, link=0.25)
PRESETS = {"first-token": FIRST_TOKEN_WEIGHTS, "recompute": RECOMPUTE_WEIGHTS}


@dataclass(frozen=True, slots=True)
class FetchConditions:
    """State of engine and link when a request arrives whose engine lacks blocks."""

    # Missing blocks, consecutive in the prompt.
    blocks: int
    block_bytes: float
    block_tokens: int
    # Tokens per second and bytes per second, as measured now.
    prefill_rate: float
    link_rate: float
    # Bytes that the budget allows at once (negative: others wait), and its rate.
    available_bytes: float
    budget_rate: float


@dataclass(frozen=True, slots=True)
class FetchPlan:
    """How many leading missing blocks to fetch, and when to abandon the fetch."""

    blocks: int
    reason: FetchReason
    # Seconds.
    predicted: float = 0.0
    timeout: float = 0.0


def choose_fetch(conditions: FetchConditions, weights: CostWeights) -> FetchPlan:
    """Return the split with the least weighted cost, the fewest blocks on a tie."""
    costs = [
        _compute_cost(conditions, weights, count)
        for count in range(conditions.blocks + 1)
    ]
    best = costs.index(min(costs))
    if best == 0:
        return FetchPlan(0, FetchReason.RECOMPUTE_IS_QUICKER)
    predicted = predict_transfer_seconds(conditions, best)
    saved = best * conditions.block_tokens / conditions.prefill_rate
    # The caller waits for the store no longer than recomputing the same blocks would
    # take (as the preset weighs it).
    max_wait = saved * (1 + weights.recompute) / (1 + weights.link)
    timeout = max(predicted * TIMEOUT_FACTOR, MIN_TIMEOUT_SECONDS)
    reason = FetchReason.FETCH if best == conditions.blocks else FetchReason.FETCH_PART
    return FetchPlan(best, reason, predicted, min(max_wait, timeout))


def is_worth_exporting(conditions: FetchConditions, weights: CostWeights) -> bool:
    """Return whether a block would be fetched again at the budget's sustained rate.

    Where recomputing is quicker, an export uses link and store to no benefit.
    """
    sustained = replace(conditions, blocks=1, available_bytes=0.0)
    return choose_fetch(sustained, weights).blocks == 1


def predict_transfer_seconds(conditions: FetchConditions, blocks: int) -> float:
    """Return the seconds that fetching ``blocks`` blocks takes on the link now."""
    size = blocks * conditions.block_bytes
    on_link = size / conditions.link_rate
    in_budget = (size - conditions.available_bytes) / conditions.budget_rate
    return max(on_link, in_budget)


def _compute_cost(
    conditions: FetchConditions, weights: CostWeights, fetched: int
) -> float:
    recomputed = (conditions.blocks - fetched) * conditions.block_tokens
    prefill = recomputed / conditions.prefill_rate
    transfer = predict_transfer_seconds(conditions, fetched) if fetched else 0.0
    return transfer * (1 + weights.link) + prefill * (1 + weights.recompute)
