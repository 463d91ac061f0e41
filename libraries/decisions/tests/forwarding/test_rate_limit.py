"""Targets that say how many requests a second they take from all gateways."""

from __future__ import annotations

import math
import random
import unittest

from bamboopier_decisions.forwarding.cold_start_limit import hash_phase
from bamboopier_decisions.forwarding.placement import (
    Demand,
    Placement,
    WeightVersionRange,
    choose_target,
)
from bamboopier_decisions.forwarding.rate_limit import NEVER, LimitUpdate, RateLimit

from .builders import VANS, make_entry, make_fleet

# What a target may get in any window beyond what it takes.
WINDOW, OVER, SLACK = 4.0, 1.5, 5.0
SECONDS, STEP = 40.0, 0.02


def press(
    per_second: float, gateways: int, heard: list[float], chance: float, seed: int
) -> list[float]:
    """Return when requests are sent by gateways that learn of a limit one by one.

    Each has a request at each step with this chance, also after rests.
    """
    generator = random.Random(seed)
    phase = hash_phase(f"i-{seed}")
    limits = [RateLimit(phase) for _ in range(gateways)]
    sent: list[float] = []
    for count in range(int(SECONDS / STEP)):
        now = 100.0 + count * STEP
        rests = int(now / 7) % 2 == 1
        for place_, limit in enumerate(limits):
            if now < 100.0 + heard[place_]:
                continue
            if not limit.in_force:
                news = LimitUpdate(per_second, now, NEVER, 100.0 + min(heard))
                limit.apply_update(now, news)
            if rests or generator.random() > chance:
                continue
            if limit.may_send(now, gateways, place_):
                limit.record_sent(now)
                sent.append(now)
    return sent


def count_most(sent: list[float]) -> int:
    """Return the most requests in one window."""
    return max((sum(s <= t < s + WINDOW for t in sent) for s in sent), default=0)


class SharedLimitTests(unittest.TestCase):
    def test_no_number_of_gateways_exceeds_what_a_target_takes(self) -> None:
        # Guards against parts that add up, and against parts saved up by all that are
        # sent in one moment, as callers come back after a rest.
        for per_second in (0.0, 0.5, 1.5, 2.0, 7.0, 40.0):
            for gateways in (1, 2, 4, 5, 12, 23, 60):
                for seed in (1, 2):
                    heard = [0.3 * random.Random(n).random() for n in range(gateways)]
                    sent = press(per_second, gateways, heard, 0.5, seed)
                    allowed = OVER * per_second * WINDOW + SLACK
                    with self.subTest(per_second, gateways=gateways, seed=seed):
                        self.assertLessEqual(count_most(sent), allowed)

    def test_gateways_that_learn_of_it_seconds_apart_keep_to_it_together(self) -> None:
        # Guards against turns that lie over each other where news come late.
        for seed in range(6):
            generator = random.Random(seed)
            heard = [3.0 * generator.random() for _ in range(23)]
            sent = press(1.5, 23, heard, 0.5, seed)
            self.assertLessEqual(count_most(sent), OVER * 1.5 * WINDOW + SLACK)

    def test_what_a_target_takes_is_used(self) -> None:
        # Guards against a target in need that gets next to nothing.
        for per_second, gateways in ((2.0, 4), (7.0, 5), (1.5, 23), (40.0, 23)):
            sent = press(per_second, gateways, [0.0] * gateways, 0.9, 1)
            pressed = SECONDS / 2
            with self.subTest(per_second, gateways=gateways):
                self.assertGreater(len(sent), 0.6 * per_second * pressed)


class BeliefTests(unittest.TestCase):
    def test_an_answer_that_names_none_ends_it(self) -> None:
        limit = RateLimit()
        self.assertTrue(limit.record_limit(10.0, 2.0))
        self.assertTrue(limit.record_no_limit(10.5))
        self.assertTrue(limit.may_send(10.6, 1000, None))

    def test_an_answer_to_an_older_request_does_not_end_it(self) -> None:
        # Guards against a slow answer from before the need that comes after the first
        # word of it.
        limit = RateLimit()
        limit.record_limit(10.0, 2.0)
        self.assertFalse(limit.record_no_limit(9.9))
        self.assertTrue(limit.in_force)

    def test_it_holds_without_an_end_while_nothing_is_heard(self) -> None:
        # Guards against a gateway that was cut off and forgot it.
        limit = RateLimit()
        limit.record_limit(10.0, 0.5)
        limit.may_send(10.0, 100, 3)
        self.assertTrue(limit.in_force)
        self.assertFalse(limit.may_send(10_000.0, 100, None))

    def test_news_of_the_end_are_weighed_by_when_they_were_true(self) -> None:
        limit = RateLimit()
        limit.record_limit(10.0, 2.0)
        self.assertFalse(limit.apply_update(11.0, LimitUpdate(2.0, 8.0, 9.0, 8.0)))
        self.assertTrue(limit.in_force)
        self.assertTrue(limit.apply_update(11.0, LimitUpdate(2.0, 9.0, 10.2, 8.0)))
        self.assertFalse(limit.in_force)

    def test_what_others_told_is_not_told_again(self) -> None:
        # Guards against news that come back and look newer each time.
        limit = RateLimit()
        limit.apply_update(11.0, LimitUpdate(2.0, 10.0, NEVER, 9.0))
        self.assertTrue(limit.in_force)
        self.assertEqual(limit.last_response_at, NEVER)

    def test_a_target_that_takes_nothing_is_tried_now_and_then(self) -> None:
        # Guards against a target that is never asked again whether it takes some.
        limit = RateLimit()
        limit.record_limit(10.0, 0.0)
        self.assertFalse(limit.may_send(11.0, 1, 0))
        self.assertTrue(limit.may_send(20.0, 1, 0))


class EntryTests(unittest.TestCase):
    def find_limit(self, born: int) -> RateLimit:
        """Return a target's limit after its entry had lapsed and is there again."""
        fleet = make_fleet([make_entry("a")])
        state = fleet.find("a")
        assert state is not None
        state.rate_limit.record_limit(1.0, 1.5)
        fleet.remove(2.0, "a")
        self.assertIsNone(fleet.find("a"))
        fleet.put(5.0, make_entry("a", started_ms=born))
        again = fleet.find("a")
        assert again is not None
        return again.rate_limit

    def test_a_limit_outlives_an_entry_that_lapsed(self) -> None:
        # Guards against a burst for a target in need that was cut off from the store.
        self.assertTrue(self.find_limit(born=1).in_force)

    def test_another_start_of_the_target_has_none(self) -> None:
        self.assertFalse(self.find_limit(born=2).in_force)


class PlacementTests(unittest.TestCase):
    def place(self, limited: set[str]) -> Placement:
        fleet = make_fleet([make_entry("a", VANS), make_entry("b", VANS)])
        for name in limited:
            state = fleet.find(name)
            assert state is not None
            state.rate_limit.record_limit(0.0, 0.5)
        demand = Demand(VANS, 0, None)
        wanted = WeightVersionRange()
        return choose_target(0.1, fleet, demand, set(), wanted, "z1", random.Random(1))

    def test_what_is_over_it_goes_elsewhere(self) -> None:
        for _ in range(10):
            placement = self.place({"a"})
            assert placement.state is not None
            self.assertEqual(placement.state.entry.name, "b")
            self.assertFalse(placement.limited.covers_all)

    def test_it_is_known_when_the_next_is_taken_where_all_are_limited(self) -> None:
        placement = self.place({"a", "b"})
        self.assertIsNone(placement.state)
        self.assertTrue(placement.limited.covers_all)
        self.assertAlmostEqual(placement.limited.next_at, 2.0)
        self.assertAlmostEqual(placement.limited.gateway_rate, 1.0)

    def test_nothing_is_said_of_targets_without_a_limit(self) -> None:
        placement = self.place(set())
        self.assertEqual(placement.limited.count, 0)
        self.assertEqual(placement.limited.next_at, math.inf)


if __name__ == "__main__":
    unittest.main()
