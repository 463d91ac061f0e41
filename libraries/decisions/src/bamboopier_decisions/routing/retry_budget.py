"""Retries as a share of successes.

Load pattern: a partial failure under load, when every failed request would come again
and the fleet would carry a multiple of what it already cannot. Without the budget three
attempts a request turn a 1.2-fold overload into a 3.6-fold one. A tenth keeps the extra
load within 10% of what succeeds; the reserve lets an idle gateway still retry a few.
"""

from __future__ import annotations

RETRY_SHARE = 0.1
RESERVE = 10.0


class RetryBudget:
    """A token bucket that successes fill and retries empty."""

    __slots__ = ("_share", "_tokens")

    def __init__(self, share: float = RETRY_SHARE) -> None:
        self._share = share
        self._tokens = RESERVE

    def add_success(self) -> None:
        """Earn a fraction of a retry."""
        self._tokens = min(RESERVE, self._tokens + self._share)

    def take(self) -> bool:
        """Spend one retry; False when none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
