"""Simulated clock: a heap of callbacks, ordered by time, then by scheduling order."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class SimulatedClock:
    """Runs callbacks at their simulated time, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` at second ``at``, or now if that is in the past."""
        self._sequence += 1
        heapq.heappush(self._heap, (max(at, self.now), self._sequence, callback))

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` after ``delay`` seconds."""
        self.call_at(self.now + delay, callback)

    def run(self, until: float) -> None:
        """Run all callbacks up to second ``until``."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
