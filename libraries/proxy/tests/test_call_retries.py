"""When retries of a call are reserved, spent and given back."""

from __future__ import annotations

import unittest
from unittest import mock

from bamboopier_decisions.forwarding.gateway_share import GatewayShare
from bamboopier_decisions.forwarding.shared_retry_budget import (
    RetryBudgetLimits,
    SharedRetryBudgets,
)
from bamboopier_proxy.call_retries import CallRetries, RetryAccounts
from bamboopier_proxy.metrics import ProxyMetrics
from bamboopier_proxy.retry_loans import LOAN_SECONDS

from .forwarder_builders import SERVICE, make_call

LIMITS = RetryBudgetLimits(ratio=0.0, slack=5.0, window_seconds=10.0)
# What a single gateway may save of that slack, and when it has saved it.
SAVED_RETRIES, SAVED_AT = 2, 15.0


class CallRetriesTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        patched = mock.patch("bamboopier_proxy.call_retries.read_clock", self.read)
        patched.start()
        self.addCleanup(patched.stop)
        self.now = 0.0
        share = GatewayShare()
        share.set_gateways(0.0, 1, 0)
        self.metrics = ProxyMetrics()
        self.budgets = SharedRetryBudgets(LIMITS, share, 0.0)
        self.loans = mock.Mock(borrow=mock.AsyncMock(return_value=True))
        self.accounts = RetryAccounts(self.budgets, self.loans, self.metrics)
        self.now = SAVED_AT

    def read(self) -> float:
        return self.now

    def open(self, *, sent: bool) -> CallRetries:
        call = make_call(self.now, keyed=False, prompt=False)
        call.was_sent = sent
        return self.accounts.open(call)

    def test_an_attempt_of_a_request_that_was_never_sent_needs_nothing(self) -> None:
        # Guards against requests that fail since targets refuse their connections.
        for _ in range(2 * SAVED_RETRIES):
            with self.open(sent=False) as retries:
                self.assertTrue(retries.reserve())
                self.assertTrue(retries.spend())

    async def test_a_borrowed_retry_is_sent_soon_or_not_at_all(self) -> None:
        """Guards against retries that are sent long after their lender's window."""
        for seconds, allowed in ((0.0, True), (LOAN_SECONDS, False)):
            opened = [self.open(sent=True) for _ in range(SAVED_RETRIES + 1)]
            reserved = [await retries.reserve_or_borrow() for retries in opened]
            self.assertTrue(all(reserved))
            self.now += seconds
            self.assertIs(opened[-1].spend(), allowed)
            for retries in opened:
                retries.__exit__(None, None, None)

    def test_reserved_retries_are_not_reserved_twice(self) -> None:
        # Guards against more requests that wait for a retry than may be sent.
        opened = [self.open(sent=True) for _ in range(SAVED_RETRIES + 1)]
        allowed = [retries.reserve() for retries in opened]
        self.assertEqual(allowed, [True] * SAVED_RETRIES + [False])

    def test_a_retry_that_is_not_sent_is_given_back(self) -> None:
        # Guards against a budget that is used up by callers that disconnect.
        for _ in range(2 * SAVED_RETRIES):
            with self.open(sent=True) as retries:
                self.assertTrue(retries.reserve())

    def test_a_retry_is_reserved_once_until_it_is_sent(self) -> None:
        # Guards against a retry that is paid again for each target that refuses the
        # connection.
        with self.open(sent=True) as retries:
            self.assertTrue(retries.reserve())
            self.assertTrue(retries.reserve())
            self.assertTrue(retries.spend())
        with self.open(sent=True) as retries:
            self.assertTrue(retries.reserve())

    def test_a_retry_that_was_not_reserved_is_not_sent(self) -> None:
        # Guards against a way to another attempt on which nothing is reserved.
        with self.open(sent=True) as retries:
            self.assertFalse(retries.spend())

    def test_a_reserved_retry_is_denied_when_its_budget_has_gone(self) -> None:
        # Guards against retries that were paid in one window and are sent in another.
        with self.open(sent=True) as retries:
            self.assertTrue(retries.reserve())
            self.budgets.set_limits(
                RetryBudgetLimits(ratio=0.0, slack=0.0, window_seconds=10.0)
            )
            self.assertFalse(retries.spend())
        denied = self.metrics.retries.labels(SERVICE, "denied")
        self.assertEqual(denied._value.get(), 1.0)


if __name__ == "__main__":
    unittest.main()
