"""Limits retries to a share of the successful requests.

Load pattern: a partial failure under load, when retries of all failed requests multiply
the load on a fleet that is already overloaded. Without the budget, three attempts per
request turn a 1.2-fold overload into a 3.6-fold one. A share of a tenth keeps the extra
load within 10% of what succeeds; the saved retries let an idle gateway still retry a
few requests.
"""

from __future__ import annotations

RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """A token bucket that is filled by successes and emptied by retries."""

    __slots__ = ("_saved_retries", "_share")

    def __init__(self, share: float = RETRY_SHARE) -> None:
        self._share = share
        self._saved_retries = MAX_SAVED_RETRIES

    def record_success(self) -> None:
        """Add a share of a retry."""
        self._saved_retries = min(MAX_SAVED_RETRIES, self._saved_retries + self._share)

    def try_spend(self) -> bool:
        """Spend one retry; return False if none is available."""
        if self._saved_retries < 1.0:
            return False
        self._saved_retries -= 1.0
        return True
