"""Tests of when callers return for which no target has room."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from bamboopier_decisions.forwarding.demand import LimitedTargets, Placement
from bamboopier_proxy.target_selector import TargetSelector

NO_ROOM = Placement([], 2, 0, 2, LimitedTargets(0, False, 0.0, 0.0, 0.0))
SECONDS_LEFT = 10.0
# When those sent away before can all be served.
PLACE_SECONDS = 5.0


class ReturnTests(unittest.TestCase):
    def find_return(self, *, capacity: float, exceeds_part: bool) -> float:
        """Return the mean seconds after which callers are told to return."""
        fleet, queues, call = mock.Mock(), mock.Mock(), mock.Mock()
        fleet.find_capacity.return_value = capacity
        fleet.exceeds_part.return_value = exceeds_part
        queues.plan_return.return_value = PLACE_SECONDS
        selector = TargetSelector(
            fleet,
            mock.Mock(),
            queues,
            mock.Mock(),
            mock.Mock(),
            "dc-1",
            random.Random(1),
        )
        count = 50
        told = sum(
            selector.draw_retry_after(100.0, call, 100.0 + SECONDS_LEFT, NO_ROOM)
            for _ in range(count)
        )
        return told / count

    def test_a_workspace_beyond_its_part_gets_a_place(self) -> None:
        seconds = self.find_return(capacity=40.0, exceeds_part=True)
        self.assertGreaterEqual(seconds, PLACE_SECONDS)

    def test_a_workspace_within_its_part_returns_soon(self) -> None:
        """Guards against a quiet workspace that waits for a loud one's callers."""
        seconds = self.find_return(capacity=40.0, exceeds_part=False)
        self.assertLess(seconds, PLACE_SECONDS / 2)

    def test_callers_of_engines_get_a_place(self) -> None:
        """Guards against prompts that all return at once, as no part is known."""
        seconds = self.find_return(capacity=0.0, exceeds_part=False)
        self.assertGreaterEqual(seconds, PLACE_SECONDS)


if __name__ == "__main__":
    unittest.main()
