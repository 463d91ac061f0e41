"""Replays of crowds: who gives way when all places or all memory are taken."""

from __future__ import annotations

import unittest
from dataclasses import dataclass

from bamboopier_decisions.connections.pace import WINDOW_SECONDS, Pace
from bamboopier_decisions.connections.yielding import (
    CROWD_REFUSALS,
    GRACE_SECONDS,
    LARGE_BYTES,
    Refusals,
    Standing,
    judge,
    may_yield_memory,
    may_yield_place,
    order_by_yielding,
)

NOW = 100.0


@dataclass
class Client:
    name: str = ""
    since: float = 0.0
    has_begun: bool = False
    answered: int = 0
    pace: float = 0.0
    request_bytes: int = 0

    def measure_pace(self, _: float) -> float:
        return self.pace


def show_crowd() -> Refusals:
    refusals = Refusals()
    for _ in range(CROWD_REFUSALS):
        refusals.add(NOW)
    return refusals


class OrderTests(unittest.TestCase):
    def test_who_brings_least_gives_way_first(self) -> None:
        """Guards against an ordinary caller that is closed before a crowd is."""
        clients = [
            Client("new", since=NOW - GRACE_SECONDS / 2),
            Client("uploading", has_begun=True, pace=50_000.0, request_bytes=9),
            Client("idle", answered=3),
            Client("drip", has_begun=True, pace=3.0, request_bytes=9),
            Client("silent"),
            Client("older and silent", since=-1.0),
        ]
        names = [c.name for c in order_by_yielding(clients, NOW)]
        self.assertEqual(
            names, ["older and silent", "silent", "drip", "idle", "uploading", "new"]
        )

    def test_a_new_place_is_taken_in_a_crowd_only(self) -> None:
        new = Client(since=NOW)
        self.assertFalse(may_yield_place(new, Refusals(), NOW))
        self.assertTrue(may_yield_place(new, show_crowd(), NOW))
        newer = Client(since=NOW + 5.0)
        self.assertFalse(may_yield_place(newer, show_crowd(), NOW + 5.0))

    def test_memory_of_an_arriving_request_is_taken_in_a_crowd_only(self) -> None:
        """Guards against an accepted upload that each small request ends."""
        large = Client(has_begun=True, pace=1e6, request_bytes=LARGE_BYTES + 1)
        self.assertIs(judge(large, NOW), Standing.ARRIVING)
        self.assertFalse(may_yield_memory(large, 1000, Refusals(), NOW))
        self.assertTrue(may_yield_memory(large, 1000, show_crowd(), NOW))
        self.assertFalse(may_yield_memory(large, LARGE_BYTES + 1, show_crowd(), NOW))

    def test_memory_of_a_stalled_request_is_taken(self) -> None:
        """Guards against bodies that stop short of their end and hold all memory."""
        stalled = Client(has_begun=True, request_bytes=1)
        self.assertTrue(may_yield_memory(stalled, LARGE_BYTES * 9, Refusals(), NOW))
        self.assertFalse(may_yield_memory(Client(), 1, show_crowd(), NOW))


class PaceTests(unittest.TestCase):
    def test_a_steady_sender_keeps_its_pace(self) -> None:
        pace = Pace(0.0)
        for tenth in range(100):
            pace.add(1000, tenth / 10)
            if tenth > 10 * WINDOW_SECONDS:
                self.assertGreaterEqual(pace.measure(tenth / 10), 9000.0)

    def test_one_that_stopped_falls_to_nothing(self) -> None:
        """Guards against a body that was fast, stopped, and holds its memory."""
        pace = Pace(0.0)
        pace.add(4_000_000, 0.1)
        self.assertGreater(pace.measure(WINDOW_SECONDS), 0.0)
        self.assertEqual(pace.measure(2 * WINDOW_SECONDS), 0.0)


if __name__ == "__main__":
    unittest.main()
