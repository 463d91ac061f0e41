"""Ratio of the measured to the estimated throughput of a target with a full queue.

Load pattern: a burst. Costs are estimated from responses at low load. A full batch
serves each request more slowly, so the queue empties at a fraction of the rate that
follows from slots and estimates. Without this measurement, requests wait for most of
their timeout before it turns out that they cannot be served, and are rejected late.
"""

from __future__ import annotations

SAMPLE_SECONDS = 0.5
SMOOTHING = 0.3
MIN_RATIO = 0.1


class ThroughputRatio:
    """Estimated cost started per second and slot while requests are queued, 0 to 1."""

    __slots__ = ("_done", "_since", "value")

    def __init__(self) -> None:
        self.value = 1.0
        self._since: float | None = None
        self._done = 0.0

    def add_started_cost(self, seconds: float) -> None:
        """Add the estimated seconds of a request that was started from the queue."""
        self._done += seconds

    def tick(self, now: float, standing: bool, limit: int) -> None:
        """Take a sample if requests were queued during the whole of it.

        ``standing`` says whether all ``limit`` slots are in use and requests queued.
        """
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
