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

FIRST_LIMIT = 2
# A failed request takes the limit down by this factor, once per round.
BACK_OFF = 0.5
# Pace against the best one above which the limit shrinks.
TOLERANCE = 2.0
# Pace above which slow start ends: answers lag the batch that made them, so doubling
# on would overshoot by the time the limit shrinks.
SLOW_START_TOLERANCE = 1.4
# Least factor of one such step.
MIN_STEP = 0.7
# A pace this much worse than the usual one means a cold engine. It is above what a
# full batch shows, so that load alone does not look like it.
COLD_RATIO = 4.0
# So many such measurements in a row: one may be a hiccup.
COLD_SAMPLES = 3
PACE_SMOOTHING = 0.2
# How fast the best pace follows a worse one seen at low load (new weights, say).
BEST_SMOOTHING = 0.02


class ConcurrencyLimit:
    """A limit between one and ``maximum``, starting at ``FIRST_LIMIT``."""

    __slots__ = (
        "_best",
        "_cold",
        "_limit",
        "_maximum",
        "_pace",
        "_round",
        "_slow_start",
    )

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self._limit = float(min(FIRST_LIMIT, maximum))
        # Growth is fast below this and slow above.
        self._slow_start = float(maximum)
        self._round = 0
        self._best = 0.0
        self._pace = 0.0
        # Consecutive measurements that look like a cold engine.
        self._cold = 0

    @property
    def value(self) -> int:
        """Return how many requests may run at once."""
        return int(self._limit)

    def add_answer(self, running: int, pace: float = 0.0) -> None:
        """Learn from an answer; ``pace`` is 0 when it was too short to tell."""
        if pace > 0:
            self._learn(running, pace)
        if self._pace > SLOW_START_TOLERANCE * self._best:
            self._slow_start = min(self._slow_start, self._limit)
        self._round += 1
        if self._round >= self._limit:
            self._end_round()
        if running < self.value:
            return
        grown = 1.0 if self._limit < self._slow_start else 1.0 / self._limit
        self._limit = min(float(self._maximum), self._limit + grown)

    def add_first_token(self, ratio: float) -> None:
        """Take the time to a first token as a multiple of the usual one.

        It tells of a cold engine long before the first slow answer is whole.
        """
        self._cold = self._cold + 1 if ratio > COLD_RATIO else 0
        if self._cold >= COLD_SAMPLES:
            self.reset()

    def add_failure(self) -> None:
        """Shrink after a request the target did not answer."""
        self._slow_start = max(1.0, self._limit * BACK_OFF)
        self._limit = self._slow_start
        self._round = 0

    def reset(self) -> None:
        """Start over for a target that went cold."""
        self._limit = float(min(FIRST_LIMIT, self._maximum))
        self._slow_start = float(self._maximum)
        self._pace = 0.0
        self._round = 0
        self._cold = 0

    def _learn(self, running: int, pace: float) -> None:
        if self._pace == 0:
            self._pace = pace
        self._pace += PACE_SMOOTHING * (pace - self._pace)
        if self._best == 0 or self._pace < self._best:
            self._best = self._pace
        elif 2 * running <= self.value or self.value <= FIRST_LIMIT:
            self._best += BEST_SMOOTHING * (self._pace - self._best)

    def _end_round(self) -> None:
        self._round = 0
        if self._pace <= TOLERANCE * self._best:
            return
        step = max(MIN_STEP, TOLERANCE * self._best / self._pace)
        self._limit = max(1.0, self._limit * step)
        self._slow_start = self._limit
