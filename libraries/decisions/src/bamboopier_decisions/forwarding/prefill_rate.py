"""Estimates how fast the engines of a service prefill prompts, from their first bytes.

Load pattern: long prompts arrive as fast as engines prefill them. How many tokens may
be pending at an engine so that the next caller is still served in time depends on the
engine's speed, which differs between models and accelerators by more than ten times.
"""

from __future__ import annotations

# Tokens prefilled in a second, and seconds to a first byte without any prefill, that
# are assumed before anything is observed.
INITIAL_PER_SECOND = 100_000.0
INITIAL_BASE_SECONDS = 0.08
# Weight of one observation: about the last ten count.
WEIGHT = 0.1
# An observation differs from the estimate by this factor at most: a first byte that is
# late because its engine is suspended says nothing about the speed.
MAX_FACTOR = 2.0
# Share of the average prefill below which a request shows the base, not the speed.
SMALL_SHARE = 0.5


class PrefillRate:
    """A moving estimate of prefilled tokens per second and of the time without any."""

    __slots__ = ("_average_tokens", "base_seconds", "per_second")

    def __init__(self) -> None:
        self.per_second = INITIAL_PER_SECOND
        self.base_seconds = INITIAL_BASE_SECONDS
        self._average_tokens = 0.0

    def record_first_byte(self, tokens: int, seconds: float) -> None:
        """Record a first byte ``seconds`` after its request was sent.

        ``tokens`` had to be prefilled until then: its own, and those pending before.
        """
        self._average_tokens += (tokens - self._average_tokens) * WEIGHT
        prefill_seconds = tokens / self.per_second
        if tokens < self._average_tokens * SMALL_SHARE:
            limit = self.base_seconds * MAX_FACTOR
            base = min(limit, max(0.0, seconds - prefill_seconds))
            self.base_seconds += (base - self.base_seconds) * WEIGHT
        else:
            observed = max(seconds - self.base_seconds, prefill_seconds / MAX_FACTOR)
            factor = max(prefill_seconds / observed, 1 / MAX_FACTOR)
            self.per_second *= factor**WEIGHT
