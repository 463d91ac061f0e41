"""Tests of targets that report how many requests a second they accept in total."""

from __future__ import annotations

import math
import random
import unittest

from bamboopier_decisions.forwarding.demand import Demand, Placement, WeightVersionRange
from bamboopier_decisions.forwarding.gateway_share import hash_phase
from bamboopier_decisions.forwarding.placement import choose_target
from bamboopier_decisions.forwarding.rate_limit import NEVER, LimitUpdate, RateLimit

from .builders import VANS, make_entry, make_fleet

# Requests that a target may receive in any window: this factor of its limit, and so
# many more.
WINDOW, FACTOR, SLACK = 4.0, 1.5, 5.0
SECONDS, STEP = 40.0, 0.02


def send_all(
    per_second: float, gateways: int, received: list[float], chance: float, seed: int
) -> list[float]:
    """Return when gateways send requests that receive a limit at different times.

    Each has a request at each step with probability ``chance``, also after idle
    periods.
    """
    generator = random.Random(seed)
    phase = hash_phase(f"i-{seed}")
    limits = [RateLimit(phase) for _ in range(gateways)]
    sent: list[float] = []
    for count in range(int(SECONDS / STEP)):
        now = 100.0 + count * STEP
        is_idle = int(now / 7) % 2 == 1
        for gateway_index, limit in enumerate(limits):
            if now < 100.0 + received[gateway_index]:
                continue
            if not limit.in_force:
                news = LimitUpdate(per_second, now, NEVER, 100.0 + min(received))
                limit.apply_update(now, news)
            if is_idle or generator.random() > chance:
                continue
            if limit.may_send(now, gateways, gateway_index):
                limit.record_sent(now)
                sent.append(now)
    return sent


def count_most(sent: list[float]) -> int:
    """Return the maximum number of requests in one window."""
    return max((sum(s <= t < s + WINDOW for t in sent) for s in sent), default=0)


class SharedLimitTests(unittest.TestCase):
    def test_no_number_of_gateways_exceeds_the_limit(self) -> None:
        # Guards against shares that add up to more than the limit, and against full
        # buckets of all gateways that are emptied at once, as callers return after an
        # idle period.
        for per_second in (0.0, 0.5, 1.5, 2.0, 7.0, 40.0):
            for gateways in (1, 2, 4, 5, 12, 23, 60):
                for seed in (1, 2):
                    received = [
                        0.3 * random.Random(n).random() for n in range(gateways)
                    ]
                    sent = send_all(per_second, gateways, received, 0.5, seed)
                    allowed = FACTOR * per_second * WINDOW + SLACK
                    with self.subTest(per_second, gateways=gateways, seed=seed):
                        self.assertLessEqual(count_most(sent), allowed)

    def test_gateways_that_receive_the_limit_seconds_apart_keep_it(self) -> None:
        # Guards against overlapping time slots where updates arrive late.
        for seed in range(6):
            generator = random.Random(seed)
            received = [3.0 * generator.random() for _ in range(23)]
            sent = send_all(1.5, 23, received, 0.5, seed)
            self.assertLessEqual(count_most(sent), FACTOR * 1.5 * WINDOW + SLACK)

    def test_the_limit_is_used(self) -> None:
        # Guards against a rate-limited target that receives hardly any requests.
        for per_second, gateways in ((2.0, 4), (7.0, 5), (1.5, 23), (40.0, 23)):
            sent = send_all(per_second, gateways, [0.0] * gateways, 0.9, 1)
            busy_seconds = SECONDS / 2
            with self.subTest(per_second, gateways=gateways):
                self.assertGreater(len(sent), 0.6 * per_second * busy_seconds)


class LimitStateTests(unittest.TestCase):
    def test_a_response_without_a_limit_ends_it(self) -> None:
        limit = RateLimit()
        self.assertTrue(limit.record_limit(10.0, 2.0))
        self.assertTrue(limit.record_no_limit(10.5))
        self.assertTrue(limit.may_send(10.6, 1000, None))

    def test_a_response_to_an_older_request_does_not_end_it(self) -> None:
        # Guards against a slow response to an earlier request that arrives after the
        # first one with a limit.
        limit = RateLimit()
        limit.record_limit(10.0, 2.0)
        self.assertFalse(limit.record_no_limit(9.9))
        self.assertTrue(limit.in_force)

    def test_it_does_not_expire_without_updates(self) -> None:
        # Guards against a gateway that is cut off and discards the limit.
        limit = RateLimit()
        limit.record_limit(10.0, 0.5)
        limit.may_send(10.0, 100, 3)
        self.assertTrue(limit.in_force)
        self.assertFalse(limit.may_send(10_000.0, 100, None))

    def test_updates_of_the_end_are_ordered_by_their_times(self) -> None:
        limit = RateLimit()
        limit.record_limit(10.0, 2.0)
        self.assertFalse(limit.apply_update(11.0, LimitUpdate(2.0, 8.0, 9.0, 8.0)))
        self.assertTrue(limit.in_force)
        self.assertTrue(limit.apply_update(11.0, LimitUpdate(2.0, 9.0, 10.2, 8.0)))
        self.assertFalse(limit.in_force)

    def test_updates_of_others_are_not_forwarded(self) -> None:
        # Guards against updates that return to their origin and look newer each time.
        limit = RateLimit()
        limit.apply_update(11.0, LimitUpdate(2.0, 10.0, NEVER, 9.0))
        self.assertTrue(limit.in_force)
        self.assertEqual(limit.last_response_at, NEVER)

    def test_a_target_that_accepts_nothing_is_probed(self) -> None:
        # Guards against a target that is never probed again after it accepted no
        # requests.
        limit = RateLimit()
        limit.record_limit(10.0, 0.0)
        self.assertFalse(limit.may_send(11.0, 1, 0))
        self.assertTrue(limit.may_send(20.0, 1, 0))


class EntryTests(unittest.TestCase):
    def find_limit(self, born: int) -> RateLimit:
        """Return a target's limit after its entry has expired and is listed again."""
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

    def test_a_limit_outlives_an_expired_entry(self) -> None:
        # Guards against a burst for a rate-limited target that was cut off from the
        # store.
        self.assertTrue(self.find_limit(born=1).in_force)

    def test_another_instance_of_the_target_has_none(self) -> None:
        self.assertFalse(self.find_limit(born=2).in_force)


class PlacementTests(unittest.TestCase):
    def choose(self, limited: set[str]) -> Placement:
        fleet = make_fleet([make_entry("a", VANS), make_entry("b", VANS)])
        for name in limited:
            state = fleet.find(name)
            assert state is not None
            state.rate_limit.record_limit(0.0, 0.5)
        demand = Demand(VANS, 0, None, 0.4)
        wanted = WeightVersionRange()
        return choose_target(0.1, fleet, demand, set(), wanted, "z1", random.Random(1))

    def test_requests_above_the_limit_are_sent_to_other_targets(self) -> None:
        for _ in range(10):
            placement = self.choose({"a"})
            assert placement.state is not None
            self.assertEqual(placement.state.entry.name, "b")
            self.assertFalse(placement.limited.covers_all)

    def test_the_time_of_the_next_request_is_known_if_all_are_limited(self) -> None:
        placement = self.choose({"a", "b"})
        self.assertIsNone(placement.state)
        self.assertTrue(placement.limited.covers_all)
        self.assertAlmostEqual(placement.limited.next_at, 2.0)
        self.assertAlmostEqual(placement.limited.gateway_rate, 1.0)

    def test_targets_without_a_limit_are_not_reported(self) -> None:
        placement = self.choose(set())
        self.assertEqual(placement.limited.count, 0)
        self.assertEqual(placement.limited.next_at, math.inf)


if __name__ == "__main__":
    unittest.main()
