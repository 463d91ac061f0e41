"""The link stays within its budget and fetches go before exports."""

from __future__ import annotations

import random
import unittest

from bamboopier_decisions.context.link_budget import EXPORT_SHARE, LinkBudget

RATE = 1000.0
BURST = 250.0


class LinkBudgetTests(unittest.TestCase):
    def test_no_window_carries_more_than_rate_and_burst(self) -> None:
        # Fetches and exports of random sizes at random times; the bytes of each window
        # between two starts are added up.
        for seed in range(20):
            started = self.drive(random.Random(seed), EXPORT_SHARE)
            started.sort()
            for first in range(len(started)):
                total = 0.0
                for at, size in started[first:]:
                    total += size
                    allowed = RATE * (at - started[first][0]) + BURST
                    self.assertLessEqual(total, allowed + 1e-6, seed)

    def drive(self, rng: random.Random, exports: float) -> list[tuple[float, int]]:
        budget = LinkBudget(0.0, RATE, BURST)
        started: list[tuple[float, int]] = []
        now = 0.0
        for _ in range(200):
            now += rng.expovariate(10.0)
            size = rng.randrange(1, int(BURST))
            if rng.random() < exports:
                if budget.try_export(now, size) == 0:
                    started.append((now, size))
            else:
                started.append((now + budget.reserve_fetch(now, size), size))
        return started

    def test_an_export_lets_waiting_fetches_go_first(self) -> None:
        budget = LinkBudget(0.0, RATE, BURST)
        budget.reserve_fetch(0.0, 500)
        self.assertGreater(budget.try_export(0.0, 100), 0)
        # The waiting export has reserved nothing ahead of the next fetch.
        self.assertAlmostEqual(budget.reserve_fetch(0.0, 100), 0.35)

    def test_exports_alone_get_their_share_only(self) -> None:
        budget = LinkBudget(0.0, RATE, BURST)
        sent = sum(
            100 for tick in range(10_000) if budget.try_export(tick / 100, 100) == 0
        )
        self.assertLessEqual(sent, RATE * EXPORT_SHARE * 100 + BURST)
        self.assertGreater(sent, RATE * EXPORT_SHARE * 90)

    def test_a_block_larger_than_the_burst_is_sent(self) -> None:
        budget = LinkBudget(0.0, RATE, BURST)
        self.assertEqual(budget.try_export(0.0, 600), 0)
        self.assertAlmostEqual(budget.reserve_fetch(0.0, 600), 0.95)

    def test_an_unused_reservation_is_returned(self) -> None:
        budget = LinkBudget(0.0, RATE, BURST)
        budget.reserve_fetch(0.0, 200)
        budget.adjust_fetch(200, 0)
        self.assertEqual(budget.get_available_bytes(0.0), BURST)
