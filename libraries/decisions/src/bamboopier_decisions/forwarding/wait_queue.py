"""Limits how long a request waits for capacity, and when a rejected one returns.

Load pattern: a burst fills all targets for a fraction of a second. Rejecting at once
wastes the capacity that becomes free a moment later; a long wait costs the caller the
time in which it could be served elsewhere. A request waits for a share of its latency
objective, the most urgent first, and is then rejected with a Retry-After that is
random, so that callers do not return together.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# Share of the latency objective that may pass in the queue. A request that is served
# within the rest is still in time.
OBJECTIVE_SHARE = 0.6
# Share of the remaining time that a request may spend waiting.
REMAINING_SHARE = 0.25
# Minimum and maximum seconds after which a rejected request may return.
RETRY_AFTER_SECONDS = (0.4, 1.2)
# Maximum share of the remaining time that a caller waits before it returns. Later
# values are cut to it, and callers with a cut value would return at the same moment.
RETRY_AFTER_SHARE = 0.3


def find_max_wait(latency_objective: float, remaining: float) -> float:
    """Return the maximum seconds that a request may wait for capacity."""
    return max(
        0.0, min(latency_objective * OBJECTIVE_SHARE, remaining * REMAINING_SHARE)
    )


def draw_retry_after(
    remaining: float, random: random.Random, capacity_in: float = 0.0
) -> float:
    """Return the random seconds after which a rejected request should return.

    No capacity is expected for ``capacity_in`` seconds, infinity if that is unknown; a
    caller that returned before would be rejected again. It is told so even if it will
    not wait for as long: what it does then is its own choice.
    """
    shortest, longest = RETRY_AFTER_SECONDS
    max_seconds = remaining * RETRY_AFTER_SHARE
    if math.isinf(capacity_in):
        capacity_in = max_seconds
    first = max(min(shortest, max_seconds), capacity_in)
    spread = longest - shortest
    if capacity_in < max_seconds:
        spread = min(spread, max_seconds - first)
    return random.uniform(first, first + spread)
