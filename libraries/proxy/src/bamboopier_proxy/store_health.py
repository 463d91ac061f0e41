"""Whether the store was away a moment ago.

Failure answered: entries of targets lapse while the store is away, though the targets
live. Taken for gone at the store's return, they would leave no target for two seconds.
"""

from __future__ import annotations

# Shorter gaps cannot make entries lapse: a target has three heartbeats before.
LEAST_AWAY_SECONDS = 1.0
# Seconds after a return in which a missing entry may still come back.
RETURNING_SECONDS = 2.2


class StoreHealth:
    """Remembers the store's last return."""

    __slots__ = ("_returned",)

    def __init__(self) -> None:
        self._returned = float("-inf")

    def note_return(self, now: float, away_seconds: float) -> None:
        """Take in that the store answers again after ``away_seconds``."""
        if away_seconds >= LEAST_AWAY_SECONDS:
            self._returned = now

    def is_returning(self, now: float) -> bool:
        """Say whether missing entries may come back."""
        return now - self._returned < RETURNING_SECONDS
