"""Retries as a share of successes.

Load pattern: a partial failure under load, when every failed request would come again
and the fleet would carry a multiple of what it already cannot. Without the budget three
attempts a request turn a 1.2-fold overload into a 3.6-fold one. A tenth keeps the extra
load within 10% of what succeeds; the reserve lets an idle gateway still retry a few.
"""

from __future__ import annotations

RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """A token bucket that successes fill and retries empty."""

    __slots__ = ("_share", "_saved_retries")

    def __init__(self, share: float = RETRY_SHARE) -> None:
        self._share = share
        self._saved_retries = MAX_SAVED_RETRIES

    def record_success(self) -> None:
        """Earn a fraction of a retry."""
        self._saved_retries = min(MAX_SAVED_RETRIES, self._saved_retries + self._share)

    def try_spend(self) -> bool:
        """Spend one retry; False when none is left."""
        if self._saved_retries < 1.0:
            return False
        self._saved_retries -= 1.0
        return True
