"""Estimates of the time in a slot, of the wait for one, and of a workspace's part."""

from __future__ import annotations

import unittest
from collections import Counter

from bamboopier_decisions.contention.departure_rate import (
    SETTLE_SECONDS,
    DepartureRate,
)
from bamboopier_decisions.contention.service_time import ServiceTime
from bamboopier_decisions.contention.workspace_demands import (
    WorkspaceDemands,
    find_level,
)

SLOTS = 3


class ServiceTimeTests(unittest.TestCase):
    def setUp(self) -> None:
        self.time = ServiceTime()

    def record(self, seconds: float, requests: int, count: int = 60) -> None:
        for _ in range(count):
            self.time.record(seconds, requests, SLOTS)

    def test_an_unknown_service_takes_a_part_of_its_objective(self) -> None:
        for objective in (0.1, 0.8):
            seconds = self.time.estimate_alone(objective)
            self.assertLess(seconds, objective / 2)
            self.assertGreater(seconds, 0)

    def test_targets_of_any_speed_are_learned(self) -> None:
        for seconds in (0.04, 0.15, 0.6):
            self.time = ServiceTime()
            self.record(seconds, 1)
            self.assertAlmostEqual(self.time.estimate_alone(1.0), seconds, delta=0.02)

    def test_known_requests_before_one_explain_its_time(self) -> None:
        self.record(0.3, 2 * SLOTS)
        self.assertAlmostEqual(self.time.estimate(0, SLOTS, 1.0), 0.15, delta=0.01)
        self.assertAlmostEqual(
            self.time.estimate(2 * SLOTS - 1, SLOTS, 1.0), 0.3, delta=0.01
        )

    def test_waiting_for_unknown_requests_shows_contention(self) -> None:
        """Guards against a slot that looks slow since others were not known."""
        for number in range(200):
            self.time.record(0.15 if number % 2 else 0.5, 1, SLOTS)
        self.assertTrue(self.time.is_contended)
        self.record(0.15, 1, 100)
        self.assertFalse(self.time.is_contended)

    def test_a_few_answers_are_not_relied_on(self) -> None:
        """Guards against requests refused by what the first answers seem to show."""
        self.record(0.43, 1, 9)
        self.assertFalse(self.time.is_settled)
        self.record(0.43, 1, 1)
        self.assertTrue(self.time.is_settled)

    def test_slow_first_answers_are_corrected_by_a_few(self) -> None:
        """Guards against a gateway with few callers that refuses them for seconds."""
        self.record(0.43, 1, 1)
        self.record(0.15, 1, 3)
        self.assertAlmostEqual(self.time.estimate_alone(1.0), 0.15, delta=0.05)


class DepartureRateTests(unittest.TestCase):
    def test_nothing_is_known_before_requests_have_waited(self) -> None:
        rate = DepartureRate()
        rate.record_waiting(0.0, is_waiting=True)
        self.assertEqual(rate.estimate_wait(SETTLE_SECONDS / 2, 5, 0.0), 0.0)

    def test_the_wait_follows_from_departures(self) -> None:
        rate = DepartureRate()
        rate.record_waiting(0.0, is_waiting=True)
        for number in range(20):
            rate.record_departure(number * 0.05)
        self.assertAlmostEqual(rate.estimate_wait(1.0, 9, 0.0), 0.5, delta=0.05)

    def test_a_known_capacity_shortens_the_wait(self) -> None:
        rate = DepartureRate()
        rate.record_waiting(0.0, is_waiting=True)
        self.assertAlmostEqual(rate.estimate_wait(1.0, 9, 40.0), 0.25)

    def test_what_is_more_urgent_says_nothing_about_the_others(self) -> None:
        """Guards against long prompts that wait in vain while short ones pass them."""
        rate = DepartureRate()
        rate.record_waiting(0.0, is_waiting=True)
        for number in range(20):
            rate.record_departure(number * 0.05, priority=0)
        for number in range(2):
            rate.record_departure(0.5 + number * 0.05, priority=2)
        self.assertAlmostEqual(rate.estimate_wait(0.99, 9, 0.0, 0), 0.45, delta=0.05)
        self.assertAlmostEqual(rate.estimate_wait(0.99, 9, 0.0, 2), 5.0, delta=0.1)

    def test_the_next_one_shows_whether_requests_leave_again(self) -> None:
        """Guards against a service that refuses all since it has refused all."""
        rate = DepartureRate()
        rate.record_waiting(0.0, is_waiting=True)
        self.assertEqual(rate.estimate_wait(5.0, 0, 0.0), 0.0)
        self.assertGreater(rate.estimate_wait(5.0, 1, 0.0), 1.0)

    def test_a_long_pause_starts_anew(self) -> None:
        rate = DepartureRate()
        rate.record_waiting(0.0, is_waiting=True)
        rate.record_waiting(1.0, is_waiting=False)
        rate.record_waiting(1.0 + 2 * SETTLE_SECONDS, is_waiting=True)
        now = 1.0 + 2.5 * SETTLE_SECONDS
        self.assertEqual(rate.estimate_wait(now, 5, 0.0), 0.0)


class WorkspaceDemandTests(unittest.TestCase):
    def setUp(self) -> None:
        self.demands = WorkspaceDemands()
        for number in range(150):
            self.demands.record_request(number / 100, "vans", "loud")

    def exceeds(self, workspace: str, capacity: float = 40.0) -> bool:
        return self.demands.exceeds_part(1.5, "vans", workspace, capacity)

    def test_who_asks_for_less_than_an_even_part_is_within_it(self) -> None:
        self.demands.record_request(1.0, "vans", "quiet")
        self.assertFalse(self.exceeds("quiet"))
        self.assertTrue(self.exceeds("loud"))

    def test_nobody_exceeds_its_part_while_all_is_carried(self) -> None:
        self.assertFalse(self.exceeds("loud", 110.0))

    def test_what_other_gateways_get_counts(self) -> None:
        """Guards against a workspace that is loud, but little at each gateway."""
        self.demands.set_others({"vans": Counter({"spread": 400})})
        self.assertTrue(self.exceeds("spread", 110.0))

    def test_what_the_quiet_leave_is_divided(self) -> None:
        self.assertEqual(find_level([10, 50, 90], 100), 45)
        self.assertEqual(find_level([10, 20], 100), float("inf"))
