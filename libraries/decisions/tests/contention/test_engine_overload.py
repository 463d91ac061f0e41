"""A crowd before engines with little memory, replayed over some numbers of gateways."""

from __future__ import annotations

import unittest

from .engine_replay import LIVE_CHECK, SUMMARY, TICKET, Replay

GATEWAYS = (1, 4, 29)
CROWD_FROM, CROWD_UNTIL, SECONDS = 2.0, 8.0, 14.0
CROWD_TIMES = 4.0
# Shares of requests that are in time, and of those refused that wait for it.
MIN_URGENT_IN_TIME, MAX_LATE = 0.9, 0.3
# Share of the objective within which most refusals come.
MAX_REFUSAL_SHARE = 1 / 8


def find_load(now: float) -> float:
    return CROWD_TIMES if CROWD_FROM <= now < CROWD_UNTIL else 1.0


class EngineOverloadTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.replays = {count: Replay(count) for count in GATEWAYS}
        for replay in cls.replays.values():
            replay.run(SECONDS, find_load)

    def test_urgent_requests_are_in_time_in_a_crowd(self) -> None:
        """Guards against urgent requests that are refused for less urgent ones."""
        for gateways, replay in self.replays.items():
            for kind in (LIVE_CHECK, SUMMARY):
                with self.subTest(gateways=gateways, priority=kind.priority):
                    share = replay.counts[kind].share_in_time
                    self.assertGreaterEqual(share, MIN_URGENT_IN_TIME)

    def test_what_cannot_go_in_time_is_refused_at_once(self) -> None:
        """Guards against callers that wait in vain, each for the same long time."""
        for gateways in (1, 4):
            with self.subTest(gateways=gateways):
                refused = sorted(self.replays[gateways].counts[TICKET].refused)
                median = refused[len(refused) // 2]
                self.assertLess(median, TICKET.objective * MAX_REFUSAL_SHARE)

    def test_most_of_the_least_urgent_are_served_in_the_end(self) -> None:
        """Guards against callers that all return into the crowd, and give up."""
        for gateways, replay in self.replays.items():
            with self.subTest(gateways=gateways):
                counts = replay.counts[TICKET]
                served = counts.in_time + counts.late
                self.assertGreaterEqual(served / counts.asked, 0.6)
                self.assertLessEqual(counts.late / counts.asked, MAX_LATE)


if __name__ == "__main__":
    unittest.main()
