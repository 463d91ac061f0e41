"""A crowd that holds all places, or all memory, gives way to ordinary callers."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass, field

from bamboopier_daemon.http.closed_connections import ClosedConnections
from bamboopier_daemon.http.connection_table import TURN_BYTES, ConnectionTable
from bamboopier_daemon.http.limits import Places, Problem
from bamboopier_decisions.connections.yielding import CROWD_REFUSALS

PLACES = Places(connections=20, input_bytes=1_000_000, output_bytes=100_000)
LATER = 10.0


@dataclass(eq=False)
class Client:
    """A connection as the table sees it."""

    since: float = 0.0
    has_begun: bool = False
    answered: int = 0
    is_active: bool = False
    pace: float = 0.0
    input_bytes: int = 0
    request_bytes: int = 0
    turns: int = 0
    problems: list[Problem] = field(default_factory=list)

    def measure_pace(self, _: float) -> float:
        return self.pace

    def give_way(self, problem: Problem) -> None:
        self.problems.append(problem)

    def continue_reading(self) -> None:
        self.turns += 1


class TableTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.now = LATER
        closed = ClosedConnections("test")
        self.table = ConnectionTable(PLACES, closed, lambda: self.now)

    def fill(self, **fields: object) -> list[Client]:
        """Take all places with connections of one kind."""
        clients = [Client(**fields) for _ in range(PLACES.connections)]
        for client in clients:
            self.assertTrue(self.table.add(client))
        return clients


class PlaceTests(TableTestCase):
    async def test_a_silent_connection_gives_way(self) -> None:
        """Guards against a silent crowd that keeps callers out."""
        silent = self.fill()
        self.assertTrue(self.table.add(Client(since=self.now)))
        self.assertEqual([c.problems for c in silent].count([Problem.NO_PLACE]), 1)

    async def test_requests_in_progress_stay(self) -> None:
        """Guards against a request that is cut although it may run."""
        active = self.fill(is_active=True, answered=1)
        self.assertFalse(self.table.add(Client(since=self.now)))
        self.assertEqual([c.problems for c in active], [[]] * len(active))

    async def test_new_connections_give_way_in_a_crowd_only(self) -> None:
        """Guards against callers that push each other out in a short peak."""
        self.fill(since=LATER)
        for _ in range(CROWD_REFUSALS):
            self.assertFalse(self.table.add(Client(since=self.now)))
        self.now += 0.1
        self.assertTrue(self.table.add(Client(since=self.now)))

    async def test_all_are_closed_once_those_that_gave_way_are(self) -> None:
        """Guards against a stop that cuts the last bytes of a connection."""
        silent = self.fill()
        self.table.add(extra := Client())
        for client in [*silent, extra]:
            self.assertGreater(self.table.count, 0)
            self.table.remove(client)
        self.assertEqual(self.table.count, 0)
        await self.table.wait_until_all_closed()


class MemoryTests(TableTestCase):
    async def test_a_stalled_request_gives_way_to_another(self) -> None:
        """Guards against unfinished heads that hold all memory."""
        stalled = Client(has_begun=True, input_bytes=900_000, request_bytes=9)
        beside = Client(has_begun=True, since=self.now)
        self.table.add(stalled)
        self.table.add(beside)
        self.assertTrue(self.table.acquire_input(stalled, 900_000))
        stalled.give_way = lambda problem: self.table.release_input(900_000)  # type: ignore[method-assign]
        self.assertTrue(self.table.acquire_input(beside, 200_000))

    async def test_nothing_gives_way_to_what_does_not_fit(self) -> None:
        active = Client(is_active=True, input_bytes=900_000, request_bytes=9)
        self.table.add(active)
        self.table.acquire_input(active, 900_000)
        self.assertFalse(self.table.acquire_input(Client(), 200_000))
        self.assertEqual(active.problems, [])

    async def test_the_response_unread_for_longest_is_cut(self) -> None:
        """Guards against responses that nobody reads and that fill memory."""
        first, second = Client(is_active=True), Client(is_active=True)
        self.table.acquire_output(first, 60_000)
        self.table.acquire_output(second, 60_000)
        self.assertEqual(first.problems, [Problem.UNREAD_RESPONSE])
        self.assertEqual(second.problems, [])


class TurnTests(TableTestCase):
    async def test_large_bodies_wait_for_their_turn(self) -> None:
        """Guards against bodies that keep the event loop busy for seconds."""
        first, second = Client(), Client()
        self.assertTrue(self.table.take_turn(first, TURN_BYTES))
        self.assertFalse(self.table.take_turn(second, 1))
        await self.pass_turn()
        self.assertEqual((first.turns, second.turns), (0, 1))

    async def test_each_waiting_one_gets_a_turn(self) -> None:
        """Guards against one that waits for ever behind others."""
        self.table.take_turn(Client(), TURN_BYTES)
        waiting = [Client() for _ in range(5)]
        for client in waiting:
            client.continue_reading = self.make_turn(client)  # type: ignore[method-assign]
            self.table.take_turn(client, TURN_BYTES)
        for _ in range(6):
            await self.pass_turn()
        self.assertEqual([c.turns for c in waiting], [1] * 5)

    def make_turn(self, client: Client) -> object:
        def take_turn() -> None:
            if self.table.take_turn(client, TURN_BYTES):
                client.turns += 1

        return take_turn

    async def pass_turn(self) -> None:
        await asyncio.sleep(0.001)


if __name__ == "__main__":
    unittest.main()
