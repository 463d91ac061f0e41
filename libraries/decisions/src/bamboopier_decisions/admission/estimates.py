"""Expected seconds of target time, learnt from what ended.

Load pattern: a queue whose length in requests says little of its length in seconds.
Without measurement a deadline that can be met is refused and one that cannot is kept.
Averages are of sums (seconds over tokens), since the mean of ratios is ruled by the
shortest requests.
"""

from __future__ import annotations

# Assumed until measured: an engine of the brief's class.
FIRST_PREFILL_RATE = 8000.0
FIRST_DECODE_PACE = 0.025
# Answers are seldom as long as they may be; corrected by measurement.
FIRST_OUTPUT_SHARE = 0.5
# Weight of a new measurement: the last twenty or so count, a few seconds of a busy
# target's work.
SMOOTHING = 0.05
# The prefill rate guides the gateways. One learnt while the engine was cold keeps work
# away from it, and so the measurements that would correct it: few must suffice.
PREFILL_SMOOTHING = 0.2
# Answers with fewer tokens show the overhead of an answer, not the engine's pace.
MIN_PACE_TOKENS = 8
# Work of up to so many times the longest answer seen is taken as measured.
KNOWN_FACTOR = 4.0
# Longer work is taken for no more than this multiple of the mean, and this many
# seconds at least. Without it requests are refused by a deadline on a pace that was
# assumed, also for what waits before them; what they really use is charged at the end.
UNKNOWN_FACTOR = 4.0
UNKNOWN_SECONDS = 1.0


class _Ratio:
    """A smoothed sum over another smoothed sum."""

    __slots__ = ("_bottom", "_smoothing", "_top")

    def __init__(self, first: float, smoothing: float = SMOOTHING) -> None:
        self._top = first
        self._bottom = 1.0
        self._smoothing = smoothing

    @property
    def value(self) -> float:
        return self._top / self._bottom

    def add(self, top: float, bottom: float) -> None:
        if bottom <= 0:
            return
        if self._bottom == 1.0:
            # The first assumption weighs as much as a measurement.
            self._top *= bottom
            self._bottom = bottom
        self._top += self._smoothing * (top - self._top)
        self._bottom += self._smoothing * (bottom - self._bottom)


class WorkEstimates:
    """Turns tokens into expected seconds."""

    __slots__ = (
        "_decode",
        "_first",
        "_longest",
        "_measured",
        "_output",
        "_prefill",
        "_service",
    )

    def __init__(self) -> None:
        # Seconds per prompt token until the first one, whatever part was cached.
        self._first = _Ratio(1 / FIRST_PREFILL_RATE)
        # Seconds per token really prefilled.
        self._prefill = _Ratio(1 / FIRST_PREFILL_RATE, PREFILL_SMOOTHING)
        # Seconds per generated token.
        self._decode = _Ratio(FIRST_DECODE_PACE)
        # Generated tokens of those allowed.
        self._output = _Ratio(FIRST_OUTPUT_SHARE)
        self._service = 0.0
        self._measured = False
        # Most tokens of an answer that was measured.
        self._longest = 0

    @property
    def prefill_rate(self) -> float:
        """Return the prompt tokens a second."""
        return 1 / max(1e-9, self._prefill.value)

    @property
    def service_seconds(self) -> float:
        """Return the mean seconds the target is busy with a request."""
        return self._service

    def estimate(self, prompt_tokens: int, max_tokens: int) -> float:
        """Return the expected seconds at the target."""
        if prompt_tokens == 0 and max_tokens == 0:
            return self._service
        output = max_tokens * self._output.value
        seconds = prompt_tokens * self._first.value + output * self._decode.value
        if self._knows(max_tokens):
            return seconds
        return min(seconds, max(UNKNOWN_SECONDS, UNKNOWN_FACTOR * self._service))

    def _knows(self, max_tokens: int) -> bool:
        """Say whether answers of about the expected length have been measured."""
        return max_tokens * self._output.value <= KNOWN_FACTOR * self._longest

    def compare_first(self, prefill_tokens: int, seconds: float) -> float:
        """Return ``seconds`` to a first token as a multiple of the expected ones."""
        expected = prefill_tokens * self._prefill.value
        return seconds / expected if expected > 0 and self._measured else 1.0

    def add_first(self, prompt_tokens: int, prefill_tokens: int, seconds: float) -> None:
        """Learn from a first token."""
        self._measured = True
        self._first.add(seconds, prompt_tokens)
        self._prefill.add(seconds, prefill_tokens)

    def add_answer(
        self, seconds: float, decode_seconds: float, output_tokens: int, allowed: int
    ) -> None:
        """Learn from a whole answer."""
        if self._service == 0:
            self._service = seconds
        self._service += SMOOTHING * (seconds - self._service)
        if output_tokens > 0:
            self._output.add(output_tokens, allowed)
        if output_tokens >= MIN_PACE_TOKENS:
            self._decode.add(decode_seconds, output_tokens)
            self._longest = max(self._longest, output_tokens)
