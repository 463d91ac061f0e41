"""Fetch or recompute: the cheaper, as each preset weighs it."""

from __future__ import annotations

import unittest
from dataclasses import replace

from bamboopier_decisions.context.fetch_choice import (
    FIRST_TOKEN_WEIGHTS,
    RECOMPUTE_WEIGHTS,
    FetchConditions,
    FetchReason,
    choose_fetch,
    is_worth_exporting,
    predict_transfer_seconds,
)

# Ten blocks of 13 MB; recomputing one takes 0.25 s, fetching one 0.1 s.
CONDITIONS = FetchConditions(
    blocks=10,
    block_bytes=12.5e6,
    block_tokens=2000,
    prefill_rate=8000.0,
    link_rate=125e6,
    available_bytes=125e6,
    budget_rate=125e6,
)


class FetchChoiceTests(unittest.TestCase):
    def test_what_is_fetched_follows_link_and_prefill(self) -> None:
        fetch, part = FetchReason.FETCH, FetchReason.FETCH_PART
        recompute = FetchReason.RECOMPUTE_IS_QUICKER
        rows = [
            ("as it stands", {}, fetch, fetch),
            # 0.3 s a block: Fosse's caller would wait longer, Kaaspost saves prefill.
            ("a slower link", {"link_rate": 41e6}, recompute, fetch),
            ("a stuck link", {"link_rate": 12.5e6}, recompute, recompute),
            ("a fast engine", {"prefill_rate": 1e6}, recompute, recompute),
            # The budget has room for four blocks, the others go at its slow rate.
            (
                "a spent budget",
                {"available_bytes": 50e6, "budget_rate": 20e6},
                part,
                part,
            ),
            ("others wait", {"available_bytes": -1e9}, recompute, recompute),
        ]
        for name, change, first_token, recomputed in rows:
            with self.subTest(name):
                conditions = replace(CONDITIONS, **change)
                plan = choose_fetch(conditions, FIRST_TOKEN_WEIGHTS)
                self.assertIs(plan.reason, first_token)
                self.assertIs(
                    choose_fetch(conditions, RECOMPUTE_WEIGHTS).reason, recomputed
                )

    def test_each_preset_leans_to_what_it_weighs(self) -> None:
        # Over a range of link speeds Kaaspost's preset never recomputes more, and
        # Fosse's never predicts a later first token.
        leaned = 0
        for tenths in range(1, 40):
            conditions = replace(CONDITIONS, link_rate=tenths * 5e6)
            quick = choose_fetch(conditions, FIRST_TOKEN_WEIGHTS)
            thrifty = choose_fetch(conditions, RECOMPUTE_WEIGHTS)
            self.assertGreaterEqual(thrifty.blocks, quick.blocks)
            self.assertLessEqual(
                expect_first_token(conditions, quick.blocks),
                expect_first_token(conditions, thrifty.blocks),
            )
            leaned += thrifty.blocks > quick.blocks
        self.assertGreater(leaned, 0)

    def test_blocks_that_nobody_would_fetch_are_not_kept(self) -> None:
        # At 41 MB/s Fosse recomputes what Kaaspost would fetch; a burst that happens to
        # be free does not count, a link busy just now neither.
        slow = replace(CONDITIONS, budget_rate=41e6)
        rows = [(CONDITIONS, True, True), (slow, False, True)]
        rows.append((replace(CONDITIONS, available_bytes=-1e9), True, True))
        rows.append((replace(CONDITIONS, link_rate=1e6), False, False))
        for conditions, first_token, recompute in rows:
            self.assertIs(
                is_worth_exporting(conditions, FIRST_TOKEN_WEIGHTS), first_token
            )
            self.assertIs(is_worth_exporting(conditions, RECOMPUTE_WEIGHTS), recompute)

    def test_no_caller_waits_longer_for_a_store_than_recomputing_costs(self) -> None:
        # A hung store answers nothing: what the caller loses is the plan's patience.
        for tenths in range(1, 400):
            conditions = replace(CONDITIONS, link_rate=tenths * 1e7)
            plan = choose_fetch(conditions, FIRST_TOKEN_WEIGHTS)
            saved = plan.blocks * conditions.block_tokens / conditions.prefill_rate
            self.assertLessEqual(plan.timeout, saved)


def expect_first_token(conditions: FetchConditions, fetched: int) -> float:
    """Return the seconds that a split costs the caller."""
    recomputed = (conditions.blocks - fetched) * conditions.block_tokens
    transfer = predict_transfer_seconds(conditions, fetched) if fetched else 0.0
    return transfer + recomputed / conditions.prefill_rate
