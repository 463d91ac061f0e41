"""Tests of which targets are considered for one request."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from typing import TYPE_CHECKING

from bamboopier_decisions.forwarding.demand import Demand, Placement, WeightVersionRange
from bamboopier_decisions.forwarding.placement import choose_target

from .builders import DESK, VANS, make_entry, make_fleet, make_prompt

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.fleet import Fleet


class PlacementTests(unittest.TestCase):
    def test_a_prompt_too_large_for_every_engine_has_no_target(self) -> None:
        # The engines are idle, and each would reject the prompt as if it were full.
        # With no target known the caller is rejected at once, and not after a wait.
        fleet = make_fleet([make_entry("i-1"), make_entry("i-2")])
        for shared, known in ((160_000, 2), (170_000, 0)):
            demand = Demand(DESK, 1, make_prompt("s1", shared=shared), 0.4)
            generator = random.Random(1)
            found = choose_target(
                1.0, fleet, demand, set(), WeightVersionRange(), "z1", generator
            )
            with self.subTest(shared=shared):
                self.assertEqual(found.known, known)
                self.assertEqual(found.state is not None, known > 0)

    def choose(self, fleet: Fleet, now: float) -> Placement:
        """Choose a target for a prompt."""
        demand = Demand(DESK, 1, make_prompt("s1"), 0.4)
        weights = WeightVersionRange()
        return choose_target(now, fleet, demand, set(), weights, "z1", random.Random(1))

    def test_a_stalled_target_is_not_used_while_others_respond(self) -> None:
        # Guards against requests that an engine reads when it resumes, after their
        # callers have disconnected.
        fleet = make_fleet([make_entry("i-1"), make_entry("i-2")])
        stalled = fleet.find("i-1")
        assert stalled is not None
        stalled.stall_detector.record_report(2.0, 1.0)
        for step in range(20):
            found = self.choose(fleet, 2.0 + step * 0.01)
            self.assertIsNot(found.state, stalled)

    def test_a_resting_target_gets_nothing_beside_other_troubles(self) -> None:
        # Guards against a rest that is forgotten beside a stall, a cold start, a load
        # of weights or a rate limit.
        for trouble in ("none", "stall", "cold", "load", "limit"):
            fleet = make_fleet([make_entry("i-1"), make_entry("i-2")])
            resting, other = fleet.find("i-1"), fleet.find("i-2")
            assert resting is not None
            assert other is not None
            resting.rest.record_rest(2.0, 3.0)
            match trouble:
                case "stall":
                    other.stall_detector.record_report(2.0, 1.0)
                case "cold":
                    other.cold_start.start(2.0, 3.0)
                case "load":
                    other.busy_until = 5.0
                case "limit":
                    other.rate_limit.record_limit(2.0, 0.1)
            for step in range(20):
                with self.subTest(trouble, step=step):
                    found = self.choose(fleet, 2.0 + step * 0.1)
                    self.assertIsNot(found.state, resting)
                    if found.state is not None:
                        fleet.begin(2.0 + step * 0.1, found.state, None)

    def test_a_stalled_target_is_probed_while_the_others_rest(self) -> None:
        # Guards against a service that serves nobody: its targets rest or have stalled.
        fleet = make_fleet([make_entry("i-1"), make_entry("i-2")])
        resting, stalled = fleet.find("i-1"), fleet.find("i-2")
        assert resting is not None
        assert stalled is not None
        resting.rest.record_rest(2.0, 3.0)
        stalled.stall_detector.record_report(2.0, 1.0)
        self.assertIs(self.choose(fleet, 2.0).state, stalled)

    def test_the_first_end_of_all_rests_is_known(self) -> None:
        # Guards against callers that are told to return while all targets rest.
        fleet = make_fleet([make_entry("i-1"), make_entry("i-2")])
        for name, seconds in (("i-1", 3.0), ("i-2", 5.0)):
            state = fleet.find(name)
            assert state is not None
            state.rest.record_rest(2.0, seconds)
        limited = self.choose(fleet, 2.0).limited
        self.assertTrue(limited.covers_all)
        self.assertEqual((limited.next_at, limited.free_at), (5.0, 5.0))

    def test_one_request_at_a_time_probes_a_stalled_target_without_others(self) -> None:
        # Guards against a lone engine that is never used again after a stall.
        fleet = make_fleet([make_entry("i-1")])
        stalled = fleet.find("i-1")
        assert stalled is not None
        stalled.stall_detector.record_report(2.0, 1.0)
        self.assertIs(self.choose(fleet, 2.0).state, stalled)
        stalled.stall_detector.record_sent(2.0)
        self.assertIsNone(self.choose(fleet, 2.1).state)

    def test_one_gateway_spreads_requests_over_idle_plain_targets(self) -> None:
        """Guards against one target that gets all requests while others are idle."""
        names = ("p-1", "p-2", "p-3")
        fleet = make_fleet([make_entry(name, VANS) for name in names])
        chosen: Counter[str] = Counter()
        demand, weights = Demand(VANS, 1, None, 0.4), WeightVersionRange()
        generator = random.Random(1)
        for step in range(300):
            found = choose_target(
                step * 0.05, fleet, demand, set(), weights, "z1", generator
            )
            assert found.state is not None
            chosen[found.state.entry.name] += 1
        for name in names:
            self.assertGreater(chosen[name], 60)


if __name__ == "__main__":
    unittest.main()
