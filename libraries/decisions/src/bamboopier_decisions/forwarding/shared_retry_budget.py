"""Limits this gateway's retries to its share of a service's retry budget.

Load pattern: a partial failure under load, when every gateway would retry each failed
request and the service would receive a multiple of a load that it already cannot
handle. Meanwhile gateways restart, and callers move from one gateway to another. The
operator limits the retries of all gateways in any window, to a ratio of the requests
and a constant slack.

Each gateway earns retries by its own requests and by its share of the slack. It saves
no more than a part of what the last window earned, and a new process has saved nothing:
neither a restart nor callers that move bring a second budget. In any window all
gateways together send at most what they had saved, a part of the window before, and
what they earned, the other part of this one; the sum is within the limits although no
gateway knows of the others' retries. A gateway that has none left may be lent one by
another, or parts of one by several, which pay first: a message that is lost loses the
retry.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import msgspec

from .gateway_share import hash_phase

if TYPE_CHECKING:
    from .gateway_share import GatewayShare

# Parts of the limits that are used: requests count when they are read, and retries when
# they reach a target, which may be in another window.
RATIO_PART = 0.9
SLACK_PART = 0.8
# Part of the budget that is earned as requests arrive and time passes; the rest can be
# saved. More of it allows more retries in a long failure, and fewer at once.
EARNED_PART = 0.5
SAVED_PART = 1.0 - EARNED_PART
# Absorbs rounding errors of sums.
TOLERANCE = 1e-9


class RetryBudgetLimits(msgspec.Struct, frozen=True):
    """How much of a service's traffic may be retries, over all gateways."""

    # Retries for each request.
    ratio: float
    # Additional retries allowed in each window.
    slack: float
    window_seconds: float


class RetryBudgetUse(msgspec.Struct, frozen=True):
    """The state of one gateway's part of a service's retry budget."""

    # Requests in the last window.
    requests: int
    # Retries that may be sent now, and how many of them requests have reserved.
    available: float
    reserved: int
    # The most that may be saved now.
    limit: float
    # Gateways that divide the slack; None if unknown, when this one has none of it.
    gateways: int | None


class SharedRetryBudget:
    """This gateway's part of the retry budget of one service."""

    __slots__ = (
        "_available",
        "_limits",
        "_phase",
        "_requests",
        "_reserved",
        "_share",
        "_updated_at",
    )

    def __init__(
        self,
        limits: RetryBudgetLimits,
        share: GatewayShare,
        started_at: float,
        phase: float = 0.0,
    ) -> None:
        """Create the budget of a process that started at ``started_at``."""
        self._limits = limits
        self._share = share
        # Offset in the order of gateways, from 0 to 1; it differs by service.
        self._phase = phase
        self._requests: deque[float] = deque()
        self._available = 0.0
        self._reserved = 0
        self._updated_at = started_at

    def set_limits(self, limits: RetryBudgetLimits) -> None:
        """Set new limits; what was saved by the former ones is cut to them."""
        self._limits = limits

    def record_request(self, now: float) -> None:
        """Record a caller's request."""
        self._update(now)
        self._requests.append(now)
        self._earn(now, EARNED_PART * RATIO_PART * self._limits.ratio)

    def reserve(self, now: float) -> bool:
        """Reserve a retry for a request; return whether one is left."""
        self._update(now)
        if self._available - self._reserved < 1.0 - TOLERANCE:
            return False
        self._reserved += 1
        return True

    def spend(self, now: float) -> bool:
        """Spend a reserved retry right before it is sent; return whether it may be.

        What was saved may have expired since it was reserved.
        """
        self._update(now)
        self._reserved -= 1
        if self._available < 1.0 - TOLERANCE:
            return False
        self._available -= 1.0
        return True

    def find_missing(self, now: float) -> float:
        """Return the part of a retry that is missing until one may be sent."""
        self._update(now)
        return max(1.0 - self._available + self._reserved, 0.0)

    def lend(self, now: float, most: float, least: float) -> float:
        """Pay for a part of another gateway's retry; return how much of it, or 0.

        ``least`` is the smallest part that is of use to the other one.
        """
        self._update(now)
        part = min(self._available - self._reserved, most)
        if part < least - TOLERANCE:
            return 0.0
        self._available -= part
        return part

    def deposit(self, now: float, part: float) -> None:
        """Save what others paid for a retry that could not be completed."""
        self._update(now)
        self._earn(now, part)

    def release(self) -> None:
        """Give back a reserved retry that is not sent."""
        self._reserved -= 1

    def measure_use(self, now: float) -> RetryBudgetUse:
        """Return the state of the budget."""
        self._update(now)
        return RetryBudgetUse(
            len(self._requests),
            self._available,
            self._reserved,
            self._find_limit(now),
            self._share.find_count(now),
        )

    def _update(self, now: float) -> None:
        start = now - self._limits.window_seconds
        while self._requests and self._requests[0] <= start:
            self._requests.popleft()
        seconds = now - self._updated_at
        self._updated_at = now
        slack_rate = self._find_slack(now) / self._limits.window_seconds
        self._earn(now, EARNED_PART * slack_rate * seconds)

    def _earn(self, now: float, retries: float) -> None:
        self._available = min(self._available + retries, self._find_limit(now))

    def _find_slack(self, now: float) -> float:
        count = self._share.find_count(now)
        return SLACK_PART * self._limits.slack / count if count else 0.0

    def _find_limit(self, now: float) -> float:
        """Return the most that may be saved.

        If that is less than a retry, some gateways may save a whole one and the others
        none, in that proportion.
        """
        earned = RATIO_PART * self._limits.ratio * len(self._requests)
        limit = SAVED_PART * (earned + self._find_slack(now))
        offset = self._share.find_offset(now)
        if limit >= 1.0 or offset is None:
            return limit
        return 1.0 if (offset + self._phase) % 1.0 < limit else limit


class SharedRetryBudgets:
    """The retry budgets of all services."""

    __slots__ = ("_budgets", "_limits", "_share", "_started_at")

    def __init__(
        self, limits: RetryBudgetLimits, share: GatewayShare, started_at: float
    ) -> None:
        self._limits = limits
        self._share = share
        self._started_at = started_at
        self._budgets: dict[str, SharedRetryBudget] = {}

    def find(self, service: str) -> SharedRetryBudget:
        """Return the budget of a service; a new one on first use."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = SharedRetryBudget(
                self._limits, self._share, self._started_at, hash_phase(service)
            )
            self._budgets[service] = budget
        return budget

    def set_limits(self, limits: RetryBudgetLimits) -> None:
        """Set new limits, also for the existing budgets."""
        self._limits = limits
        for budget in self._budgets.values():
            budget.set_limits(limits)
