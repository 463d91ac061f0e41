"""Retries of calls: reserved when they are decided, and spent when they are sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.clock import read_clock

from .retry_loans import LOAN_SECONDS

if TYPE_CHECKING:
    from types import TracebackType
    from typing import Self

    from bamboopier_decisions.forwarding.shared_retry_budget import (
        SharedRetryBudget,
        SharedRetryBudgets,
    )

    from .messages import Call
    from .metrics import ProxyMetrics
    from .retry_loans import RetryLoans

log = structlog.get_logger()


class CallRetries:
    """The retries of one call; leaving the context gives back what was not sent."""

    def __init__(
        self,
        call: Call,
        budget: SharedRetryBudget,
        loans: RetryLoans,
        metrics: ProxyMetrics,
    ) -> None:
        self._call = call
        self._budget = budget
        self._loans = loans
        self._metrics = metrics
        self._reserved = False
        # Until when a retry that another gateway paid for may be sent; None without.
        self._borrowed_until: float | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._reserved:
            self._budget.release()
            self._reserved = False

    def reserve(self) -> bool:
        """Reserve what another attempt needs; return whether it may be made.

        An attempt of a call that was never sent needs nothing, and a reservation holds
        until a target gets the call.
        """
        if self._try_reserve():
            return True
        self._record("denied")
        return False

    async def reserve_or_borrow(self) -> bool:
        """Reserve the same, or borrow it from another gateway if none is left here."""
        if self._try_reserve():
            return True
        if await self._loans.borrow(self._call.service):
            self._borrowed_until = read_clock() + LOAN_SECONDS
            return True
        self._record("denied")
        return False

    def _try_reserve(self) -> bool:
        if not self._call.was_sent or self._reserved:
            return True
        self._reserved = self._budget.reserve(read_clock())
        return self._reserved

    def spend(self) -> bool:
        """Spend the reservation right before a send; return whether it may be made."""
        if self._borrowed_until is not None:
            is_valid = read_clock() < self._borrowed_until
            self._borrowed_until = None
            self._record("sent" if is_valid else "denied")
            return is_valid
        if not self._reserved:
            return not self._call.was_sent
        self._reserved = False
        allowed = self._budget.spend(read_clock())
        self._record("sent" if allowed else "denied")
        return allowed

    def _record(self, outcome: str) -> None:
        self._metrics.retries.labels(self._call.service, outcome).inc()
        use = self._budget.measure_use(read_clock())
        log.info(
            f"retry {outcome}",
            request_id=self._call.request_id,
            service=self._call.service,
            available=round(use.available, 2),
            reserved=use.reserved,
            limit=round(use.limit, 2),
            requests=use.requests,
            gateways=use.gateways,
        )


class RetryAccounts:
    """Opens the retries of calls, and publishes the budgets of their services."""

    def __init__(
        self, budgets: SharedRetryBudgets, loans: RetryLoans, metrics: ProxyMetrics
    ) -> None:
        self._budgets = budgets
        self._loans = loans
        self._metrics = metrics
        self._published: set[str] = set()

    def open(self, call: Call) -> CallRetries:
        """Record a request of a caller, and return its retries."""
        budget = self._budgets.find(call.service)
        if call.service not in self._published:
            self._publish(call.service, budget)
        budget.record_request(read_clock())
        return CallRetries(call, budget, self._loans, self._metrics)

    def _publish(self, service: str, budget: SharedRetryBudget) -> None:
        self._published.add(service)
        self._metrics.retries_available.labels(service).set_function(
            lambda: budget.measure_use(read_clock()).available
        )
