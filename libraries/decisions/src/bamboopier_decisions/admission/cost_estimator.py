"""Estimates the cost of a request in seconds of target time, from finished requests.

Load pattern: a queue whose length in requests says little about its length in seconds.
Without measurement, requests that can meet their deadline are rejected and requests
that cannot are queued. The averages are ratios of sums (seconds over tokens), since a
mean of ratios would be dominated by the shortest requests.
"""

from __future__ import annotations

# Tokens per second and seconds per token of the engines that the system is designed
# for, assumed until measured.
INITIAL_PREFILL_RATE = 8000.0
INITIAL_SECONDS_PER_TOKEN = 0.025
# Share of max_tokens that a response uses, until measured: few reach the maximum.
INITIAL_OUTPUT_SHARE = 0.5
# Weight of a new measurement: about the last twenty count, a few seconds on a busy
# target.
SMOOTHING = 0.05
# Gateways choose targets by the prefill rate. A low rate measured on a cold engine
# keeps requests away, and with them the measurements that would correct it, so a few
# measurements must suffice.
PREFILL_SMOOTHING = 0.2
# Responses with fewer tokens measure the overhead per response, not the decode speed.
MIN_DECODE_SAMPLE_TOKENS = 8
# Estimates are trusted up to this multiple of the longest response measured.
MAX_EXTRAPOLATION = 4.0
# The cost of a longer request is capped at this multiple of the mean service time, or
# at the seconds below if those are more. Without the cap, requests are rejected for
# their deadline on the grounds of an assumed speed, also because of the requests queued
# before them. The time they really use is charged when they finish.
UNMEASURED_COST_FACTOR = 4.0
MIN_UNMEASURED_CAP_SECONDS = 1.0


class _SmoothedRatio:
    """The ratio of two exponentially smoothed sums."""

    __slots__ = ("_denominator", "_numerator", "_smoothing")

    def __init__(self, initial: float, smoothing: float = SMOOTHING) -> None:
        self._numerator = initial
        self._denominator = 1.0
        self._smoothing = smoothing

    @property
    def value(self) -> float:
        return self._numerator / self._denominator

    def add(self, numerator: float, denominator: float) -> None:
        if denominator <= 0:
            return
        if self._denominator == 1.0:
            # The initial value counts as much as one measurement.
            self._numerator *= denominator
            self._denominator = denominator
        self._numerator += self._smoothing * (numerator - self._numerator)
        self._denominator += self._smoothing * (denominator - self._denominator)


class CostEstimator:
    """Estimates seconds of target time from token counts."""

    __slots__ = (
        "_decode",
        "_first_token",
        "_longest_output",
        "_measured",
        "_output",
        "_prefill",
        "_service_seconds",
    )

    def __init__(self) -> None:
        # Seconds to the first token per prompt token, cached tokens included.
        self._first_token = _SmoothedRatio(1 / INITIAL_PREFILL_RATE)
        # Seconds to the first token per prefilled token.
        self._prefill = _SmoothedRatio(1 / INITIAL_PREFILL_RATE, PREFILL_SMOOTHING)
        # Seconds per generated token.
        self._decode = _SmoothedRatio(INITIAL_SECONDS_PER_TOKEN)
        # Generated tokens per token allowed.
        self._output = _SmoothedRatio(INITIAL_OUTPUT_SHARE)
        self._service_seconds = 0.0
        self._measured = False
        # Tokens of the longest response measured.
        self._longest_output = 0

    @property
    def prefill_rate(self) -> float:
        """Return the prefilled tokens per second."""
        return 1 / max(1e-9, self._prefill.value)

    @property
    def service_seconds(self) -> float:
        """Return the mean seconds a request spends at the target; 0 until measured."""
        return self._service_seconds

    def estimate(self, prompt_tokens: int, max_tokens: int) -> float:
        """Return the expected seconds of a request at the target."""
        if prompt_tokens == 0 and max_tokens == 0:
            return self._service_seconds
        output = max_tokens * self._output.value
        seconds = prompt_tokens * self._first_token.value + output * self._decode.value
        if self._is_measured(max_tokens):
            return seconds
        return min(
            seconds,
            max(
                MIN_UNMEASURED_CAP_SECONDS,
                UNMEASURED_COST_FACTOR * self._service_seconds,
            ),
        )

    def _is_measured(self, max_tokens: int) -> bool:
        """Return whether responses of about the expected length have been measured."""
        return (
            max_tokens * self._output.value <= MAX_EXTRAPOLATION * self._longest_output
        )

    def compare_first_token(self, prefill_tokens: int, seconds: float) -> float:
        """Return ``seconds`` to a first token as a multiple of the expected time."""
        expected = prefill_tokens * self._prefill.value
        return seconds / expected if expected > 0 and self._measured else 1.0

    def record_first_token(
        self, prompt_tokens: int, prefill_tokens: int, seconds: float
    ) -> None:
        """Update the estimates with a time to first token of ``seconds``."""
        self._measured = True
        self._first_token.add(seconds, prompt_tokens)
        self._prefill.add(seconds, prefill_tokens)

    def record_success(
        self, seconds: float, decode_seconds: float, output_tokens: int, allowed: int
    ) -> None:
        """Update the estimates with a complete response."""
        if self._service_seconds == 0:
            self._service_seconds = seconds
        self._service_seconds += SMOOTHING * (seconds - self._service_seconds)
        if output_tokens > 0:
            self._output.add(output_tokens, allowed)
        if output_tokens >= MIN_DECODE_SAMPLE_TOKENS:
            self._decode.add(decode_seconds, output_tokens)
            self._longest_output = max(self._longest_output, output_tokens)
