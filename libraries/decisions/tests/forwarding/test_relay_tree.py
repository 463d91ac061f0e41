"""Tests of which gateways answer which others."""

from __future__ import annotations

import unittest
from collections import Counter

from bamboopier_decisions.forwarding.relay_tree import (
    MAX_STEPS,
    MIN_CHILDREN,
    find_children,
    has_children,
    list_ancestors,
)

DIRECT = 8
COUNTS = (1, 8, 9, 21, 40, 41, 68, 168, 169, 340, 1000)


class RelayTreeTests(unittest.TestCase):
    def test_every_gateway_reaches_the_source_within_few_steps(self) -> None:
        """Guards against updates that expire on their way, and polls in a circle."""
        for count in COUNTS:
            for rank in range(count):
                with self.subTest(count=count, rank=rank):
                    ancestors = list_ancestors(rank, count, DIRECT)
                    self.assertLessEqual(len(ancestors), MAX_STEPS)
                    self.assertEqual(not ancestors, rank < DIRECT)
                    self.assertEqual(ancestors, sorted(set(ancestors), reverse=True))
                    if ancestors:
                        self.assertLess(ancestors[0], rank)
                        self.assertLess(ancestors[-1], DIRECT)

    def test_no_gateway_answers_many_others(self) -> None:
        """Guards against a few gateways that answer dozens of others."""
        for count, most in ((21, 4), (68, 4), (168, 4), (340, 6)):
            with self.subTest(count=count):
                parents = [list_ancestors(r, count, DIRECT) for r in range(count)]
                children = Counter(p[0] for p in parents if p)
                self.assertLessEqual(max(children.values()), most)

    def test_one_step_while_those_that_poll_the_source_have_room(self) -> None:
        for rank in range(DIRECT, DIRECT + DIRECT * MIN_CHILDREN):
            ancestors = list_ancestors(rank, DIRECT + DIRECT * MIN_CHILDREN, DIRECT)
            self.assertEqual(len(ancestors), 1)

    def test_who_has_children_is_who_is_polled(self) -> None:
        for count in COUNTS:
            polled = {
                parents[0]
                for parents in (list_ancestors(r, count, DIRECT) for r in range(count))
                if parents
            }
            for rank in range(count):
                with self.subTest(count=count, rank=rank):
                    expected = rank in polled
                    self.assertEqual(has_children(rank, count, DIRECT), expected)

    def test_more_children_only_where_they_are_needed(self) -> None:
        self.assertEqual(find_children(168, DIRECT), MIN_CHILDREN)
        self.assertGreater(find_children(169, DIRECT), MIN_CHILDREN)


if __name__ == "__main__":
    unittest.main()
