"""How much of a queue's expected work really gets done a second.

Load pattern: a burst. Work is estimated from answers given at low load; a full batch
serves each request more slowly, so the queue drains at a fraction of what slots and
estimates promise. Without this measurement requests wait most of their patience before
it shows that they cannot be served, and their refusal is late.
"""

from __future__ import annotations

SAMPLE_SECONDS = 0.5
SMOOTHING = 0.3
MIN_RATIO = 0.1


class ThroughputRatio:
    """The share of the promised work that is done while a queue stands."""

    __slots__ = ("_done", "_since", "value")

    def __init__(self) -> None:
        self.value = 1.0
        self._since: float | None = None
        self._done = 0.0

    def add_started_cost(self, seconds: float) -> None:
        """Count the expected seconds of a request that left the queue to run."""
        self._done += seconds

    def tick(self, now: float, standing: bool, limit: int) -> None:
        """Take a sample if the queue stood through the whole of it."""
        if not standing or self._since is None:
            self._since = now if standing else None
            self._done = 0.0
            return
        elapsed = now - self._since
        if elapsed < SAMPLE_SECONDS:
            return
        ratio = min(1.0, max(MIN_RATIO, self._done / (elapsed * max(1, limit))))
        self.value += SMOOTHING * (ratio - self.value)
        self._since = now
        self._done = 0.0
