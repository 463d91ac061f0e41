"""Adaptive concurrency limit of a target: starts small, grows with successes.

Load pattern: a target that has just started (or lost its caches) while the whole fleet
looks for capacity, and a batch that grows beyond what the engine can process. Without
the limit every gateway sends its share at once and the cold target crashes, and an
engine whose batch no longer fits in memory gets slower with every request added. The
limit is kept beside the target, so it holds for any number of gateways together, and a
new agent process starts with a small one.

It grows as in TCP's slow start, by one per successful response while it is fully used,
which doubles it once per service time; once it has been too large, it grows by one per
round of responses. It shrinks when the latency (seconds per generated token, or per
request of a plain service) exceeds twice the best one seen: the throughput of a
batching engine still rises while the time between tokens at most doubles; beyond that
only the waiting time grows (the requirement is 57 ms, about twice the 25 ms of an
engine with one request).
"""

from __future__ import annotations

INITIAL_LIMIT = 2
# Factor by which a failed request shrinks the limit.
FAILURE_SHRINK_FACTOR = 0.5
# Ratio of the latency to the best one above which the limit shrinks.
SHRINK_LATENCY_RATIO = 2.0
# Ratio above which slow start ends: responses lag behind the batch that produced them,
# so further doubling would overshoot before the limit shrinks.
SLOW_START_LATENCY_RATIO = 1.4
# The limit shrinks by no more than this factor per round.
MIN_SHRINK_FACTOR = 0.7
# Ratio of a time to first token to the expected one that indicates a cold engine.
# It is above the ratio of a full batch, so load alone does not reach it.
COLD_RATIO = 4.0
# Consecutive measurements above COLD_RATIO: a single one may be an outlier.
COLD_SAMPLES = 3
LATENCY_SMOOTHING = 0.2
# Rate at which the best latency follows a higher one at low load, as after a change
# of weights.
BEST_LATENCY_SMOOTHING = 0.02


class ConcurrencyLimit:
    """A limit between 1 and ``maximum`` that starts at ``INITIAL_LIMIT``."""

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
        # Growth is exponential below this limit and linear above.
        self._slow_start_threshold = float(maximum)
        self._round = 0
        self._best_latency = 0.0
        self._latency = 0.0
        # Consecutive measurements above COLD_RATIO.
        self._cold_samples = 0

    @property
    def value(self) -> int:
        """Return how many requests may run at once."""
        return int(self._limit)

    def record_success(self, running: int, latency: float = 0.0) -> None:
        """Record a successful response while ``running`` requests were in flight.

        ``latency`` is in seconds; 0 if the response was too short to measure it.
        """
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
        """Record a time to first token as a multiple of the expected one.

        It reveals a cold engine long before the first slow response is complete.
        """
        self._cold_samples = self._cold_samples + 1 if ratio > COLD_RATIO else 0
        if self._cold_samples >= COLD_SAMPLES:
            self.reset()

    def record_failure(self) -> None:
        """Shrink the limit after a request that the target failed."""
        self._slow_start_threshold = max(1.0, self._limit * FAILURE_SHRINK_FACTOR)
        self._limit = self._slow_start_threshold
        self._round = 0

    def reset(self) -> None:
        """Return to the initial limit for a target that is cold."""
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
