"""Blocks are fetched or recomputed, whichever costs less under the preset."""

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
            # 0.3 s a block: the caller would wait longer, but prefill is saved.
            ("a slower link", {"link_rate": 41e6}, recompute, fetch),
            ("a stuck link", {"link_rate": 12.5e6}, recompute, recompute),
            ("a fast engine", {"prefill_rate": 1e6}, recompute, recompute),
            # The budget allows four blocks at once, the others at its slow rate.
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

    def test_each_preset_prefers_what_it_weighs(self) -> None:
        # Over a range of link speeds the recompute preset never recomputes more, and
        # the first-token preset never predicts a later first token.
        differing = 0
        for tenths in range(1, 40):
            conditions = replace(CONDITIONS, link_rate=tenths * 5e6)
            quick = choose_fetch(conditions, FIRST_TOKEN_WEIGHTS)
            saving = choose_fetch(conditions, RECOMPUTE_WEIGHTS)
            self.assertGreaterEqual(saving.blocks, quick.blocks)
            self.assertLessEqual(
                predict_first_token_seconds(conditions, quick.blocks),
                predict_first_token_seconds(conditions, saving.blocks),
            )
            differing += saving.blocks > quick.blocks
        self.assertGreater(differing, 0)

    def test_blocks_that_nobody_would_fetch_are_not_exported(self) -> None:
        # At 41 MB/s the first-token preset recomputes what the recompute preset would
        # fetch; neither an available burst nor a momentarily busy link counts.
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
        # A hung store never answers: the caller loses the timeout of the plan.
        for tenths in range(1, 400):
            conditions = replace(CONDITIONS, link_rate=tenths * 1e7)
            plan = choose_fetch(conditions, FIRST_TOKEN_WEIGHTS)
            saved = plan.blocks * conditions.block_tokens / conditions.prefill_rate
            self.assertLessEqual(plan.timeout, saved)


def predict_first_token_seconds(conditions: FetchConditions, fetched: int) -> float:
    """Return the seconds to the first token if ``fetched`` blocks are fetched."""
    recomputed = (conditions.blocks - fetched) * conditions.block_tokens
    transfer = predict_transfer_seconds(conditions, fetched) if fetched else 0.0
    return transfer + recomputed / conditions.prefill_rate
