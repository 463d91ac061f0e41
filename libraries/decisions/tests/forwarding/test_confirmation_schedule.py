"""Replays of many gateways that confirm one list in the store for each other."""

from __future__ import annotations

import heapq
import random
import unittest

from bamboopier_decisions.forwarding.confirmation_schedule import (
    RESPONSE_GRACE_SECONDS,
    ConfirmationSchedule,
)

MAX_AGE = 1.15
TICK_SECONDS = 0.25
ASKED_PEERS = 4
SETTLING_SECONDS = 5.0
REPLAY_SECONDS = 40.0
# Calls of all gateways in the time for which one response is enough.
MAX_CALLS = 4.0


class Fleet:
    """Gateways that tick at random phases and answer each other at once."""

    def __init__(self, count: int, *, lost: float = 0.0, stopped: int = 0) -> None:
        self.generator = random.Random(count)
        self.schedules = [
            ConfirmationSchedule(MAX_AGE, self.generator) for _ in range(count)
        ]
        for rank, schedule in enumerate(self.schedules):
            schedule.set_order(rank, count)
        # The first in order that stand still, which the others still count.
        self.stopped = stopped
        self.known_until = [0.0] * count
        self.lost = lost
        self.checks = 0
        self.oldest = 0.0

    def replay(self) -> float:
        """Return the checks a second of all gateways together."""
        count = len(self.schedules)
        running = range(self.stopped, count)
        ticks = [(self.generator.uniform(0, TICK_SECONDS), n) for n in running]
        heapq.heapify(ticks)
        while ticks[0][0] < REPLAY_SECONDS:
            now, number = heapq.heappop(ticks)
            self.tick(now, number)
            pause = TICK_SECONDS * self.generator.uniform(0.8, 1.0)
            heapq.heappush(ticks, (now + pause, number))
        return self.checks / (REPLAY_SECONDS - SETTLING_SECONDS)

    def tick(self, now: float, number: int) -> None:
        """Let one gateway decide."""
        schedule = self.schedules[number]
        settled = now >= SETTLING_SECONDS
        if settled:
            self.oldest = max(self.oldest, now - self.known_until[number])
        if schedule.is_query_due(now, self.known_until[number]):
            self.ask_peers(number)
        if schedule.is_check_due(now, self.known_until[number], 0):
            schedule.record_check()
            self.known_until[number] = now
            self.checks += settled

    def ask_peers(self, number: int) -> None:
        """Take over the latest confirmation of a few others."""
        others = [n for n in range(len(self.schedules)) if n != number]
        for peer in self.generator.sample(others, min(ASKED_PEERS, len(others))):
            if peer >= self.stopped and self.generator.random() >= self.lost:
                self.known_until[number] = max(
                    self.known_until[number], self.known_until[peer]
                )


class ManyGatewaysTests(unittest.TestCase):
    def test_calls_stay_far_below_one_a_second_for_each_gateway(self) -> None:
        # Guards against a store that is asked by 340 gateways more than it answers.
        for count in (23, 68, 340):
            with self.subTest(gateways=count):
                self.assertLess(Fleet(count).replay(), max(4.0, 0.08 * count))

    def test_calls_hardly_grow_with_the_gateways(self) -> None:
        """Guards against many that ask before they hear of the first response."""
        for count, stopped in ((4, 0), (29, 0), (68, 0), (340, 0), (29, 1), (340, 1)):
            with self.subTest(gateways=count, stopped=stopped):
                most = (MAX_CALLS if stopped == 0 else 2 * MAX_CALLS) / MAX_AGE
                self.assertLess(Fleet(count, stopped=stopped).replay(), most)

    def test_no_gateway_knows_less_than_its_bound(self) -> None:
        for count, lost in ((1, 0.0), (4, 0.0), (68, 0.0), (68, 0.3), (340, 0.3)):
            with self.subTest(gateways=count, lost=lost):
                fleet = Fleet(count, lost=lost)
                fleet.replay()
                self.assertLess(fleet.oldest, MAX_AGE + TICK_SECONDS)

    def test_gateways_without_contact_confirm_for_themselves(self) -> None:
        fleet = Fleet(5, lost=1.0)
        self.assertGreater(fleet.replay(), 5 / (MAX_AGE + TICK_SECONDS))


class ReportedChangeTests(unittest.TestCase):
    def test_a_change_that_the_watch_does_not_deliver_is_checked(self) -> None:
        # Guards against a watch that went silent: a peer has received a change, and
        # requests still go to a target that drains.
        schedule = ConfirmationSchedule(MAX_AGE, random.Random(1))
        schedule.record_newer(10.0, 7, 6)
        later = 10.0 + RESPONSE_GRACE_SECONDS
        self.assertFalse(schedule.is_check_due(10.1, 10.1, 6))
        self.assertTrue(schedule.is_check_due(later, later, 6))
        self.assertFalse(schedule.is_check_due(later, later, 7))

    def test_repeated_reports_do_not_delay_the_check(self) -> None:
        schedule = ConfirmationSchedule(MAX_AGE, random.Random(1))
        for at in (10.0, 10.3, 10.6):
            schedule.record_newer(at, 7, 6)
        later = 10.0 + RESPONSE_GRACE_SECONDS
        self.assertTrue(schedule.is_check_due(later, later, 6))

    def test_a_reported_change_does_not_put_off_a_check_that_is_due(self) -> None:
        """Guards against a removed target that is used while its removal is awaited.

        The list was last confirmed the maximum age before a peer reports a change.
        """
        schedule = ConfirmationSchedule(MAX_AGE, random.Random(1))
        schedule.record_newer(10.0, 7, 6)
        self.assertTrue(schedule.is_check_due(10.05, 10.0 - MAX_AGE, 6))
        self.assertFalse(schedule.is_check_due(10.05, 9.9, 6))

    def test_a_change_in_transfer_is_not_asked_for(self) -> None:
        """Guards against a second copy of a large object on a weak link."""
        schedule = ConfirmationSchedule(MAX_AGE, random.Random(1))
        schedule.record_newer(10.0, 7, 6)
        old = 10.0 - 2 * MAX_AGE
        self.assertFalse(schedule.is_check_due(11.9, old, 6, transfer_seconds=2.0))
        self.assertTrue(schedule.is_check_due(12.1, old, 6, transfer_seconds=2.0))

    def test_further_changes_do_not_delay_the_check(self) -> None:
        """Guards against a silent watch that is trusted for as long as targets leave.

        Each report tells of a later change than the one before.
        """
        schedule = ConfirmationSchedule(MAX_AGE, random.Random(1))
        for number in range(5):
            schedule.record_newer(10.0 + 0.4 * number, 7 + number, 6)
        later = 10.0 + RESPONSE_GRACE_SECONDS
        self.assertTrue(schedule.is_check_due(later, later, 6))

    def test_a_change_after_those_that_arrived_gets_its_own_time(self) -> None:
        schedule = ConfirmationSchedule(MAX_AGE, random.Random(1))
        schedule.record_newer(10.0, 7, 6)
        schedule.record_newer(10.8, 9, 8)
        self.assertFalse(schedule.is_check_due(10.9, 10.9, 8))


if __name__ == "__main__":
    unittest.main()
