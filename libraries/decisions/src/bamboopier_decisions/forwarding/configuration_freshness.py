"""Decides until when a configuration may be used for keys, and for denials.

Guards against a gateway that goes on accepting a revoked key because it is cut off or
suspended, or its watch stopped responding. Freshness is confirmed by a linearizable
response that shows the configuration; it counts from before the request for it was
sent. The absence of updates confirms nothing.

Guards also against a gateway that denies a route or a key that was added in the
meantime. Callers do not repeat a request that was denied; they do return when they are
told that the configuration could not be confirmed.
"""

from __future__ import annotations

import math

# Seconds reserved for the latency from the check to the target.
SEND_MARGIN = 0.15


class ConfigurationFreshness:
    """When the active configuration was last confirmed to be current.

    All times are on a clock that also counts while the machine is suspended.
    """

    __slots__ = ("_max_age", "_max_denial_age", "confirmed_at")

    def __init__(self, max_age: float | None, max_denial_age: float = math.inf) -> None:
        # Seconds after which a key may have been revoked; None for no limit.
        self._max_age = max_age
        # Seconds after which a route or a key that was added has to be known.
        self._max_denial_age = max_denial_age
        self.confirmed_at = float("-inf")

    @property
    def max_denial_age(self) -> float:
        """Return the age in seconds up to which something unknown may be denied."""
        return self._max_denial_age

    def set_limits(self, max_age: float | None, max_denial_age: float) -> None:
        """Set the maximum ages."""
        self._max_age = max_age
        self._max_denial_age = max_denial_age

    def confirm(self, sent_at: float) -> None:
        """Record that the configuration was current at ``sent_at``."""
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def find_age(self, now: float) -> float:
        """Return the seconds since the last confirmation."""
        return now - self.confirmed_at

    def allows_denial(self, now: float) -> bool:
        """Return whether what the configuration does not contain may be denied."""
        return self.find_age(now) <= self._max_denial_age

    def is_fresh(self, now: float) -> bool:
        """Return whether a request with a key may be forwarded at ``now``."""
        if self._max_age is None:
            return self.confirmed_at > float("-inf")
        return self.find_age(now) < self._max_age - SEND_MARGIN
