"""How many requests a target runs at once: small when cold, grown by answers.

Load pattern: a target that just started (or went cold) while the whole fleet looks for
room, and a batch that grows past what the engine carries. Without it every gateway
sends its share at once and the fresh target falls over; and an engine whose batch no
longer fits in memory does less the more it is given. The limit lives beside the target,
so any number of gateways respect it together, and a new agent process starts small.

It grows as TCP's slow start does, by one per answer while it is in use, which doubles
it once per service time; once it has been too large, by one per round of answers.
It shrinks when the pace (seconds per generated token, or per request of a plain
service) is worse than twice the best one seen: a batching engine gives more tokens in
total while the time between them at most doubles, beyond that only waiting grows (the
brief allows 57 ms, about twice an engine's 25 ms alone).
"""

from __future__ import annotations

INITIAL_LIMIT = 2
# A failed request takes the limit down by this factor, once per round.
FAILURE_SHRINK_FACTOR = 0.5
# Pace against the best one above which the limit shrinks.
SHRINK_LATENCY_RATIO = 2.0
# Pace above which slow start ends: answers lag the batch that made them, so doubling
# on would overshoot by the time the limit shrinks.
SLOW_START_LATENCY_RATIO = 1.4
# Least factor of one such step.
MIN_SHRINK_FACTOR = 0.7
# A pace this much worse than the usual one means a cold engine. It is above what a
# full batch shows, so that load alone does not look like it.
COLD_RATIO = 4.0
# So many such measurements in a row: one may be a hiccup.
COLD_SAMPLES = 3
LATENCY_SMOOTHING = 0.2
# How fast the best pace follows a worse one seen at low load (new weights, say).
BEST_LATENCY_SMOOTHING = 0.02


class ConcurrencyLimit:
    """A limit between one and ``maximum``, starting at ``INITIAL_LIMIT``."""

    __slots__ = (
        "_best_latency",
        "_cold_samples",
        "_limit",
        "_maximum",
        "_latency",
        "_round",
        "_slow_start_threshold",
    )

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self._limit = float(min(INITIAL_LIMIT, maximum))
        # Growth is fast below this and slow above.
        self._slow_start_threshold = float(maximum)
        self._round = 0
        self._best_latency = 0.0
        self._latency = 0.0
        # Consecutive measurements that look like a cold engine.
        self._cold_samples = 0

    @property
    def value(self) -> int:
        """Return how many requests may run at once."""
        return int(self._limit)

    def record_success(self, running: int, latency: float = 0.0) -> None:
        """Learn from an answer; ``latency`` is 0 when it was too short to tell."""
        if latency > 0:
            self._record_latency(running, latency)
        if self._latency > SLOW_START_LATENCY_RATIO * self._best_latency:
            self._slow_start_threshold = min(self._slow_start_threshold, self._limit)
        self._round += 1
        if self._round >= self._limit:
            self._end_round()
        if running < self.value:
            return
        grown = 1.0 if self._limit < self._slow_start_threshold else 1.0 / self._limit
        self._limit = min(float(self._maximum), self._limit + grown)

    def record_first_token(self, ratio: float) -> None:
        """Take the time to a first token as a multiple of the usual one.

        It tells of a cold engine long before the first slow answer is whole.
        """
        self._cold_samples = self._cold_samples + 1 if ratio > COLD_RATIO else 0
        if self._cold_samples >= COLD_SAMPLES:
            self.reset()

    def record_failure(self) -> None:
        """Shrink after a request the target did not answer."""
        self._slow_start_threshold = max(1.0, self._limit * FAILURE_SHRINK_FACTOR)
        self._limit = self._slow_start_threshold
        self._round = 0

    def reset(self) -> None:
        """Start over for a target that went cold."""
        self._limit = float(min(INITIAL_LIMIT, self._maximum))
        self._slow_start_threshold = float(self._maximum)
        self._latency = 0.0
        self._round = 0
        self._cold_samples = 0

    def _record_latency(self, running: int, latency: float) -> None:
        if self._latency == 0:
            self._latency = latency
        self._latency += LATENCY_SMOOTHING * (latency - self._latency)
        if self._best_latency == 0 or self._latency < self._best_latency:
            self._best_latency = self._latency
        elif 2 * running <= self.value or self.value <= INITIAL_LIMIT:
            self._best_latency += BEST_LATENCY_SMOOTHING * (
                self._latency - self._best_latency
            )

    def _end_round(self) -> None:
        self._round = 0
        if self._latency <= SHRINK_LATENCY_RATIO * self._best_latency:
            return
        factor = max(
            MIN_SHRINK_FACTOR, SHRINK_LATENCY_RATIO * self._best_latency / self._latency
        )
        self._limit = max(1.0, self._limit * factor)
        self._slow_start_threshold = self._limit
