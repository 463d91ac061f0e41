"""This gateway's share of the sends beyond the first that a service may get.

Load pattern: a partial failure under load, when every gateway would send each failed
request again and the service would carry a multiple of what it cannot carry now. The
operator bounds repeats over all gateways in a sliding window; each keeps to the same
ratio of its own requests and to an equal part of the constant slack, so the parts add
up without a call for each retry.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Share of the common slack that is divided among the gateways. The rest covers a
# gateway that restarts and has forgotten what it already spent in the window.
SLACK_SHARE = 0.6
# Share of the ratio that is used: the windows of the gateways do not begin together.
RATIO_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """How much of a service's traffic may be repeats, over all gateways."""

    # Repeats for each request.
    ratio: float
    # Repeats allowed beside, in each window.
    slack: float
    window_seconds: float


class SharedRetryBudget:
    """Counts one service's requests and repeats of this gateway in a window."""

    __slots__ = ("_ratio", "_retries", "_requests", "_slack", "_window")

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self.set_limits(limits)

    def set_limits(self, limits: RetryBudgetLimits) -> None:
        """Take other bounds; what was counted goes on counting."""
        self._ratio = limits.ratio * RATIO_SHARE
        self._slack = limits.slack * SLACK_SHARE
        self._window = limits.window_seconds

    def record_request(self, now: float) -> None:
        """Count a caller's request."""
        self._requests.append(now)

    def try_spend(self, now: float, gateway_count: int) -> bool:
        """Spend one repeat, with the slack divided by ``gateway_count``; False if none."""
        _remove_before(self._requests, now - self._window)
        _remove_before(self._retries, now - self._window)
        allowed = self._ratio * len(self._requests) + self._slack / max(
            1, gateway_count
        )
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True


class SharedRetryBudgets:
    """The shares of all services."""

    __slots__ = ("_limits", "_budgets")

    def __init__(self, limits: RetryBudgetLimits) -> None:
        self._limits = limits
        self._budgets: dict[str, SharedRetryBudget] = {}

    def find(self, service: str) -> SharedRetryBudget:
        """Return the share of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = SharedRetryBudget(self._limits)
        return budget

    def set_limits(self, limits: RetryBudgetLimits) -> None:
        """Take other bounds, also for the services that are already known."""
        self._limits = limits
        for budget in self._budgets.values():
            budget.set_limits(limits)


def _remove_before(times: deque[float], start: float) -> None:
    while times and times[0] < start:
        times.popleft()
