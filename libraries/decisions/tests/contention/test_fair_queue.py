"""The order in which waiting requests go, by priority, workspace and time."""

from __future__ import annotations

import itertools
import time
import unittest

from bamboopier_decisions.contention.fair_queue import FairQueue

# Requests that wait in a calm and in a burst, and how much longer one more may take in
# the burst: the time may grow with the logarithm, and half as much again.
CALM, BURST = 100, 10_000
MAX_GROWTH = 3.0
REPEATS = 5


def measure_seconds(waiting: int) -> float:
    """Return the least seconds that one more request takes, from its coming to its end.

    ``waiting`` requests of 24 workspaces stay in the queue.
    """
    queue = FairQueue()
    for number in range(waiting):
        queue.add(number % 3, str(number % 24), in_time_until=float(number))
    clock = itertools.count()

    def pass_requests(count: int) -> float:
        started_at = time.perf_counter()
        for number in range(count):
            workspace = str(number % 24)
            queue.count_before(1, workspace)
            ticket = queue.add(1, workspace, in_time_until=float(number))
            queue.list_tickets(32, float(next(clock)) / 10)
            queue.remove(ticket, served=number % 2 == 0)
        return (time.perf_counter() - started_at) / count

    return min(pass_requests(200) for _ in range(REPEATS))


class FairQueueTests(unittest.TestCase):
    def setUp(self) -> None:
        self.queue = FairQueue()

    def serve(self, count: int) -> list[int]:
        """Let ``count`` requests go, one after the other."""
        served = []
        for _ in range(count):
            (ticket,) = self.queue.list_tickets(1)
            self.queue.remove(ticket, served=True)
            served.append(ticket)
        return served

    def test_a_quiet_workspace_passes_a_loud_one(self) -> None:
        """Guards against a workspace that waits behind all requests of another."""
        loud = [self.queue.add(0, "loud") for _ in range(20)]
        self.serve(5)
        quiet = self.queue.add(0, "quiet")
        self.assertLessEqual(self.queue.list_tickets(20).index(quiet), 1)
        self.assertIn(loud[-1], self.queue.list_tickets(20))

    def test_workspaces_go_in_turn(self) -> None:
        first = [self.queue.add(0, "a") for _ in range(3)]
        second = [self.queue.add(0, "b") for _ in range(3)]
        expected = [t for pair in zip(first, second, strict=True) for t in pair]
        self.assertEqual(self.serve(6), expected)

    def test_an_idle_workspace_saves_no_turns(self) -> None:
        """Guards against one that returns and holds up all others."""
        busy = [self.queue.add(0, "busy") for _ in range(10)]
        self.serve(8)
        back = [self.queue.add(0, "back") for _ in range(5)]
        self.assertLess(self.serve(3).index(busy[8]), 2)
        self.assertTrue(set(back) & set(self.queue.list_tickets(10)))

    def test_the_most_urgent_go_first(self) -> None:
        later = self.queue.add(2, "a")
        urgent = self.queue.add(0, "b")
        self.assertEqual(self.queue.list_tickets(2), [urgent, later])

    def test_what_is_late_goes_after_what_can_be_in_time(self) -> None:
        late = self.queue.add(0, "a", in_time_until=1.0)
        early = self.queue.add(0, "a", in_time_until=9.0)
        self.assertEqual(self.queue.list_tickets(2, now=0.5), [late, early])
        self.assertEqual(self.queue.list_tickets(2, now=2.0), [early, late])

    def test_a_removed_request_does_not_count(self) -> None:
        first = self.queue.add(0, "a")
        self.queue.add(0, "b")
        self.queue.remove(first)
        self.assertEqual(len(self.queue), 1)
        self.assertEqual(self.queue.workspaces, {"b": 1})
        self.assertEqual(self.queue.count_before(0, "c"), 1)

    def test_a_burst_costs_little_more_a_request_than_a_calm(self) -> None:
        """Guards against a gateway that stands still as thousands wait."""
        growth = measure_seconds(BURST) / measure_seconds(CALM)
        self.assertLess(growth, MAX_GROWTH)

    def test_a_late_request_can_be_removed(self) -> None:
        late = self.queue.add(0, "a", in_time_until=1.0)
        kept = self.queue.add(0, "a")
        self.assertEqual(self.queue.list_tickets(2, now=2.0), [kept, late])
        self.queue.remove(late)
        self.assertEqual(self.queue.list_tickets(2, now=2.0), [kept])

    def test_late_requests_are_not_ahead_of_one_that_can_be_in_time(self) -> None:
        """Guards against a refusal of what would pass all that wait before it."""
        for _ in range(5):
            self.queue.add(0, "a", in_time_until=1.0)
        self.queue.list_tickets(1, now=2.0)
        self.assertEqual(self.queue.count_before(0, "a"), 0)
