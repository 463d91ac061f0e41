"""Speeds as they stand now, measured from the agent's own work.

Load pattern: a link that slows down or a store VM that hangs. A long average would keep
predicting the old speed, and every request would wait for a fetch that comes too late.
"""

from __future__ import annotations

import math
from typing import Protocol

# Weight of a new measurement: the last handful of transfers decide.
SMOOTHING = 0.3
# A transfer that ran late shows only an upper bound of the speed; half of it is taken.
TIMEOUT_RATE_FACTOR = 0.5
# Seconds in which an unmeasured speed doubles again. Without it a link judged too slow
# would never be used, and so never be measured again.
RECOVERY_SECONDS = 5.0
# Most doublings; keeps the power within range after a long idle time.
MAX_DOUBLINGS = 40.0


class Rate(Protocol):
    """A speed in units a second."""

    def record(self, now: float, amount: float, seconds: float) -> None:
        """Take a finished piece of work of ``amount`` units."""
        ...

    def record_timeout(self, now: float, amount: float, seconds: float) -> None:
        """Take work that was given up after ``seconds`` with ``amount`` expected."""
        ...

    def estimate(self, now: float) -> float:
        """Return the units a second to count on."""
        ...


class MeasuredRate:
    """A moving average of units a second that a late transfer cuts."""

    __slots__ = ("_ceiling", "_measured_at", "_rate")

    def __init__(self, initial: float, ceiling: float) -> None:
        self._rate = initial
        # The rate never recovers above this by idling; a measurement may exceed it.
        self._ceiling = ceiling
        self._measured_at = 0.0

    def record(self, now: float, amount: float, seconds: float) -> None:
        """Take a finished piece of work of ``amount`` units."""
        if amount <= 0 or seconds <= 0:
            return
        current = self.estimate(now)
        self._rate = current + SMOOTHING * (amount / seconds - current)
        self._measured_at = now

    def record_timeout(self, now: float, amount: float, seconds: float) -> None:
        """Take work that was given up after ``seconds`` with ``amount`` expected."""
        if seconds <= 0:
            return
        bound = amount / seconds
        self._rate = min(self.estimate(now), bound) * TIMEOUT_RATE_FACTOR
        self._measured_at = now

    def estimate(self, now: float) -> float:
        """Return the units a second to count on."""
        if self._rate >= self._ceiling:
            return self._rate
        idle = max(0.0, now - self._measured_at)
        doublings = min(MAX_DOUBLINGS, idle / RECOVERY_SECONDS)
        return min(self._ceiling, self._rate * math.pow(2.0, doublings))
