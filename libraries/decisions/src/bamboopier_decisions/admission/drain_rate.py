"""How much of a queue's expected work really gets done a second.

Load pattern: a burst. Work is estimated from answers given at low load; a full batch
serves each request more slowly, so the queue drains at a fraction of what slots and
estimates promise. Without this measurement requests wait most of their patience before
it shows that they cannot be served, and their refusal is late.
"""

from __future__ import annotations

SAMPLE_SECONDS = 0.5
SMOOTHING = 0.3
LEAST = 0.1


class DrainRate:
    """The share of the promised work that is done while a queue stands."""

    __slots__ = ("_done", "_since", "share")

    def __init__(self) -> None:
        self.share = 1.0
        self._since: float | None = None
        self._done = 0.0

    def add_work(self, seconds: float) -> None:
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
        share = min(1.0, max(LEAST, self._done / (elapsed * max(1, limit))))
        self.share += SMOOTHING * (share - self.share)
        self._since = now
        self._done = 0.0
