"""Until when a configuration may be relied on for requests with a key.

Failure answered: a key is taken away while a gateway hears nothing of it, because it
is cut off, suspended, or its watch went silent. Without a bound it would go on serving
that key. A proof is a linearizable answer that showed the configuration; it counts
from before the question was sent. The absence of bad news proves nothing.
"""

from __future__ import annotations

# Seconds left for the way from the check to the target.
SEND_MARGIN = 0.15


class ConfigurationFreshness:
    """When the configuration in force was last proved current.

    All times are on a clock that also counts while the machine is suspended.
    """

    __slots__ = ("_max_age", "confirmed_at")

    def __init__(self, max_age: float | None) -> None:
        # Seconds after which a key may have been taken away; None for no such bound.
        self._max_age = max_age
        self.confirmed_at = float("-inf")

    def set_max_age(self, max_age: float | None) -> None:
        """Take another bound."""
        self._max_age = max_age

    def confirm(self, sent_at: float) -> None:
        """Take in that the configuration was current at ``sent_at``."""
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def find_age(self, now: float) -> float:
        """Return the seconds since the last proof."""
        return now - self.confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Say whether a request with a key may be passed on at ``now``."""
        if self._max_age is None:
            return self.confirmed_at > float("-inf")
        return self.find_age(now) < self._max_age - SEND_MARGIN
