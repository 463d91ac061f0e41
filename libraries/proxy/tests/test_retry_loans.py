"""Retries that one gateway lends another."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from bamboopier_decisions.forwarding.gateway_share import GatewayShare
from bamboopier_decisions.forwarding.shared_retry_budget import (
    RetryBudgetLimits,
    SharedRetryBudgets,
)
from bamboopier_proxy.hints import Hint, RetryGrant, RetryRequest
from bamboopier_proxy.retry_loans import LOAN_SECONDS, PAUSE_SECONDS, RetryLoans
from bamboopier_proxy.settings import Endpoint

SERVICE = "desk"
LIMITS = RetryBudgetLimits(ratio=0.0, slack=20.0, window_seconds=10.0)
# A gateway that runs this long has saved all that it may: a quarter of 0.8 of 20.
RUNNING_SECONDS = 60.0
SAVED_RETRIES = 4


class Network:
    """Gateways that reach each other without a delay."""

    def __init__(self, now: float) -> None:
        self.now = now
        self.gateways: dict[Endpoint, RetryLoans] = {}
        self.budgets: dict[Endpoint, SharedRetryBudgets] = {}
        self.sent: list[Hint] = []
        self.loses_grants = False

    def add(self, started_at: float) -> RetryLoans:
        own = Endpoint("10.0.0.1", len(self.gateways))
        share = GatewayShare()
        share.set_gateways(0.0, 2, 0)
        self.budgets[own] = SharedRetryBudgets(LIMITS, share, started_at)
        peers = mock.Mock()
        peers.sample_peers.side_effect = lambda _: [
            e for e in self.gateways if e != own
        ]
        peers.send.side_effect = lambda hint, to: self.send(hint, to, own)
        loans = RetryLoans(str(own), self.budgets[own], peers, random.Random(1))
        self.gateways[own] = loans
        return loans

    def send(self, hint: Hint, to: Endpoint, sender: Endpoint) -> None:
        self.sent.append(hint)
        if not (self.loses_grants and isinstance(hint, RetryGrant)):
            self.gateways[to].receive(hint, sender)


class RetryLoanTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        patched = mock.patch(
            "bamboopier_proxy.retry_loans.read_clock", lambda: self.network.now
        )
        patched.start()
        self.addCleanup(patched.stop)
        self.network = Network(RUNNING_SECONDS)
        self.running = self.network.add(0.0)
        self.started = self.network.add(RUNNING_SECONDS)

    async def test_a_gateway_that_has_just_started_borrows_a_retry(self) -> None:
        self.assertTrue(await self.started.borrow(SERVICE))

    async def test_what_is_lent_is_paid_for_first(self) -> None:
        """Guards against retries of all gateways beyond their budget."""
        borrowed = 0
        while await self.started.borrow(SERVICE):
            borrowed += 1
        budget = self.network.budgets[Endpoint("10.0.0.1", 0)].find(SERVICE)
        own = 0
        while budget.reserve(self.network.now) and budget.spend(self.network.now):
            own += 1
        self.assertEqual(borrowed + own, SAVED_RETRIES)

    async def test_nobody_is_asked_for_a_while_after_nobody_lent(self) -> None:
        """Guards against a question for each request while all targets fail."""
        while await self.started.borrow(SERVICE):
            pass
        count = len(self.network.sent)
        self.assertFalse(await self.started.borrow(SERVICE))
        self.assertEqual(len(self.network.sent), count)
        self.network.now += PAUSE_SECONDS
        await self.started.borrow(SERVICE)
        self.assertGreater(len(self.network.sent), count)

    async def test_a_lost_grant_brings_no_retry(self) -> None:
        self.network.loses_grants = True
        self.assertFalse(await self.started.borrow(SERVICE))

    async def test_a_grant_that_arrives_twice_counts_once(self) -> None:
        self.assertTrue(await self.started.borrow(SERVICE))
        self.network.loses_grants = True
        grant = next(h for h in self.network.sent if isinstance(h, RetryGrant))
        self.started.receive(grant, Endpoint("10.0.0.1", 0))
        self.assertFalse(await self.started.borrow(SERVICE))

    async def test_a_borrowed_retry_expires(self) -> None:
        third = self.network.add(0.0)
        self.assertIsNotNone(third)
        # Two gateways lend one each; the second is left over, and not for long.
        self.assertTrue(await self.started.borrow(SERVICE))
        self.network.loses_grants = True
        self.network.now += LOAN_SECONDS
        self.assertFalse(await self.started.borrow(SERVICE))

    async def test_parts_of_several_gateways_make_a_retry(self) -> None:
        """Guards against refusals after a start of all, while each has a part."""
        self.start_all(0.9, 0.9, 0.9)
        self.assertTrue(await self.started.borrow(SERVICE))
        self.network.loses_grants = True
        self.assertFalse(await self.started.borrow(SERVICE))

    async def test_parts_that_do_not_suffice_are_saved(self) -> None:
        """Guards against parts that are lent in vain again and again, and lost."""
        self.start_all(0.1, 0.1, 2.0)
        self.assertFalse(await self.started.borrow(SERVICE))
        self.network.loses_grants = True
        self.network.now += 0.5
        budget = self.network.budgets[Endpoint("10.0.0.1", 0)].find(SERVICE)
        self.assertTrue(budget.reserve(self.network.now))

    async def test_a_sender_that_knows_no_parts_gets_a_whole_retry_or_none(
        self,
    ) -> None:
        """Guards against a part that a gateway of the former version takes as whole."""
        self.start_all(0.9, 0.9)
        self.network.sent.clear()
        self.started.receive(RetryRequest("old", 7, SERVICE), Endpoint("10.0.0.1", 1))
        self.assertEqual(self.network.sent, [])

    def start_all(self, *ages: float) -> None:
        """Replace the gateways by some that have run for these numbers of seconds."""
        self.network.gateways.clear()
        self.started, *_ = [self.network.add(self.network.now - a) for a in ages]


if __name__ == "__main__":
    unittest.main()
