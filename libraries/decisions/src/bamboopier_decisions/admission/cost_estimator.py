"""Expected seconds of target time, learnt from what ended.

Load pattern: a queue whose length in requests says little of its length in seconds.
Without measurement a deadline that can be met is refused and one that cannot is kept.
Averages are of sums (seconds over tokens), since the mean of ratios is ruled by the
shortest requests.
"""

from __future__ import annotations

# Assumed until measured: an engine of the brief's class.
INITIAL_PREFILL_RATE = 8000.0
INITIAL_SECONDS_PER_TOKEN = 0.025
# Answers are seldom as long as they may be; corrected by measurement.
INITIAL_OUTPUT_SHARE = 0.5
# Weight of a new measurement: the last twenty or so count, a few seconds of a busy
# target's work.
SMOOTHING = 0.05
# The prefill rate guides the gateways. One learnt while the engine was cold keeps work
# away from it, and so the measurements that would correct it: few must suffice.
PREFILL_SMOOTHING = 0.2
# Answers with fewer tokens show the overhead of an answer, not the engine's pace.
MIN_DECODE_SAMPLE_TOKENS = 8
# Work of up to so many times the longest answer seen is taken as measured.
MAX_EXTRAPOLATION = 4.0
# Longer work is taken for no more than this multiple of the mean, and this many
# seconds at least. Without it requests are refused by a deadline on a pace that was
# assumed, also for what waits before them; what they really use is charged at the end.
UNMEASURED_COST_FACTOR = 4.0
MIN_UNMEASURED_CAP_SECONDS = 1.0


class _SmoothedRatio:
    """A smoothed sum over another smoothed sum."""

    __slots__ = ("_denominator", "_smoothing", "_numerator")

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
            # The first assumption weighs as much as a measurement.
            self._numerator *= denominator
            self._denominator = denominator
        self._numerator += self._smoothing * (numerator - self._numerator)
        self._denominator += self._smoothing * (denominator - self._denominator)


class CostEstimator:
    """Turns tokens into expected seconds."""

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
        # Seconds per prompt token until the first one, whatever part was cached.
        self._first_token = _SmoothedRatio(1 / INITIAL_PREFILL_RATE)
        # Seconds per token really prefilled.
        self._prefill = _SmoothedRatio(1 / INITIAL_PREFILL_RATE, PREFILL_SMOOTHING)
        # Seconds per generated token.
        self._decode = _SmoothedRatio(INITIAL_SECONDS_PER_TOKEN)
        # Generated tokens of those allowed.
        self._output = _SmoothedRatio(INITIAL_OUTPUT_SHARE)
        self._service_seconds = 0.0
        self._measured = False
        # Most tokens of an answer that was measured.
        self._longest_output = 0

    @property
    def prefill_rate(self) -> float:
        """Return the prompt tokens a second."""
        return 1 / max(1e-9, self._prefill.value)

    @property
    def service_seconds(self) -> float:
        """Return the mean seconds the target is busy with a request."""
        return self._service_seconds

    def estimate(self, prompt_tokens: int, max_tokens: int) -> float:
        """Return the expected seconds at the target."""
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
        """Say whether answers of about the expected length have been measured."""
        return (
            max_tokens * self._output.value <= MAX_EXTRAPOLATION * self._longest_output
        )

    def compare_first_token(self, prefill_tokens: int, seconds: float) -> float:
        """Return ``seconds`` to a first token as a multiple of the expected ones."""
        expected = prefill_tokens * self._prefill.value
        return seconds / expected if expected > 0 and self._measured else 1.0

    def record_first_token(
        self, prompt_tokens: int, prefill_tokens: int, seconds: float
    ) -> None:
        """Learn from a first token."""
        self._measured = True
        self._first_token.add(seconds, prompt_tokens)
        self._prefill.add(seconds, prefill_tokens)

    def record_success(
        self, seconds: float, decode_seconds: float, output_tokens: int, allowed: int
    ) -> None:
        """Learn from a whole answer."""
        if self._service_seconds == 0:
            self._service_seconds = seconds
        self._service_seconds += SMOOTHING * (seconds - self._service_seconds)
        if output_tokens > 0:
            self._output.add(output_tokens, allowed)
        if output_tokens >= MIN_DECODE_SAMPLE_TOKENS:
            self._decode.add(decode_seconds, output_tokens)
            self._longest_output = max(self._longest_output, output_tokens)
