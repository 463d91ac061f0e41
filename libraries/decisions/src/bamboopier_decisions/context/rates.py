"""Estimates current speeds from the agent's own transfers and prefills.

Load pattern: a link that slows down or a store VM that hangs. A long average would keep
predicting the old speed, and every request would wait for a fetch that ends too late.
"""

from __future__ import annotations

import math
from typing import Protocol

# Weight of a new measurement: the last few transfers dominate the average.
SMOOTHING = 0.3
# A transfer that timed out shows only an upper bound of the speed; half is assumed.
TIMEOUT_RATE_FACTOR = 0.5
# Seconds in which an unmeasured speed doubles. Without it a link that is estimated as
# too slow would never be used, and so never be measured again.
RECOVERY_SECONDS = 5.0
# Keeps the power within range after a long idle time.
MAX_DOUBLINGS = 40.0


class Rate(Protocol):
    """A speed in units per second."""

    def record(self, now: float, amount: float, seconds: float) -> None:
        """Record completed work of ``amount`` units that took ``seconds``."""
        ...

    def record_timeout(self, now: float, amount: float, seconds: float) -> None:
        """Record work abandoned after ``seconds``, with ``amount`` units expected."""
        ...

    def estimate(self, now: float) -> float:
        """Return the expected units per second."""
        ...


class MeasuredRate:
    """A moving average of units per second that a timeout reduces."""

    __slots__ = ("_ceiling", "_measured_at", "_rate")

    def __init__(self, initial: float, ceiling: float) -> None:
        self._rate = initial
        # Idle time never raises the rate above this; a measurement may exceed it.
        self._ceiling = ceiling
        self._measured_at = 0.0

    def record(self, now: float, amount: float, seconds: float) -> None:
        """Record completed work of ``amount`` units that took ``seconds``."""
        if amount <= 0 or seconds <= 0:
            return
        current = self.estimate(now)
        self._rate = current + SMOOTHING * (amount / seconds - current)
        self._measured_at = now

    def record_timeout(self, now: float, amount: float, seconds: float) -> None:
        """Record work abandoned after ``seconds``, with ``amount`` units expected."""
        if seconds <= 0:
            return
        bound = amount / seconds
        self._rate = min(self.estimate(now), bound) * TIMEOUT_RATE_FACTOR
        self._measured_at = now

    def estimate(self, now: float) -> float:
        """Return the expected units per second."""
        if self._rate >= self._ceiling:
            return self._rate
        idle = max(0.0, now - self._measured_at)
        doublings = min(MAX_DOUBLINGS, idle / RECOVERY_SECONDS)
        return min(self._ceiling, self._rate * math.pow(2.0, doublings))
