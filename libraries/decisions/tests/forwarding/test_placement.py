"""Tests of which targets are considered for one request."""

from __future__ import annotations

import random
import unittest

from bamboopier_decisions.forwarding.placement import (
    Demand,
    WeightVersionRange,
    choose_target,
)

from .builders import DESK, make_entry, make_fleet, make_prompt


class PlacementTests(unittest.TestCase):
    def test_a_prompt_too_large_for_every_engine_has_no_target(self) -> None:
        # The engines are idle, and each would reject the prompt as if it were full.
        # With no target known the caller is rejected at once, and not after a wait.
        fleet = make_fleet([make_entry("i-1"), make_entry("i-2")])
        for shared, known in ((160_000, 2), (170_000, 0)):
            demand = Demand(DESK, 1, make_prompt("s1", shared=shared))
            generator = random.Random(1)
            found = choose_target(
                1.0, fleet, demand, set(), WeightVersionRange(), "z1", generator
            )
            with self.subTest(shared=shared):
                self.assertEqual(found.known, known)
                self.assertEqual(found.state is not None, known > 0)


if __name__ == "__main__":
    unittest.main()
