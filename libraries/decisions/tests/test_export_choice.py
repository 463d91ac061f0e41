"""Blocks that are likely to be reused are exported first and dropped last."""

from __future__ import annotations

import unittest

from bamboopier_decisions.context.export_choice import (
    ExportItem,
    ExportQueue,
    ReuseLikelihood,
    ReuseTracker,
)


def build_item(key: bytes) -> ExportItem:
    return ExportItem("r", "w", "s", "v1", key, 0)


class ExportChoiceTests(unittest.TestCase):
    def test_likelihood_follows_recorded_prompts(self) -> None:
        reuse_tracker = ReuseTracker()
        new, opening = ReuseLikelihood.NEW, ReuseLikelihood.OPENING
        returned, shared = ReuseLikelihood.RETURNED, ReuseLikelihood.SHARED
        rows = [
            ((b"a", b"b", b"c"), [opening, opening, new]),
            # The conversation returns, longer by a turn.
            ((b"a", b"b", b"c", b"d"), [returned, returned, returned, new]),
            # Another question about the same catalogue.
            ((b"a", b"b", b"x"), [returned, shared, new]),
        ]
        for keys, likelihood in rows:
            self.assertEqual(reuse_tracker.record_prompt(keys), likelihood, keys)

    def test_the_most_likely_go_first_and_the_least_likely_are_dropped(self) -> None:
        queue = ExportQueue(2)
        queue.push(ReuseLikelihood.NEW, build_item(b"n"))
        queue.push(ReuseLikelihood.SHARED, build_item(b"s"))
        self.assertIsNone(queue.push(ReuseLikelihood.SHARED, build_item(b"s")))
        dropped = queue.push(ReuseLikelihood.RETURNED, build_item(b"r"))
        self.assertEqual(dropped, build_item(b"n"))
        popped = [entry[1].key for entry in (queue.pop(), queue.pop()) if entry]
        self.assertEqual(popped, [b"s", b"r"])
        self.assertIsNone(queue.pop())
