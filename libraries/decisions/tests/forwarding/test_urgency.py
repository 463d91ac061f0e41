"""Which of two requests is more urgent."""

from __future__ import annotations

import itertools
import unittest

from bamboopier_decisions.forwarding.route_table import RouteTable
from bamboopier_decisions.forwarding.specs import Workspace

from .builders import make_configuration, make_route


def rank(workspaces: tuple[int | None, ...]) -> dict[tuple[int, int], int]:
    """Return the priority of requests by index of the workspace and of the route."""
    owners = tuple(
        Workspace(f"w{number}", (f"k{number}",), priority, isolated=False)
        for number, priority in enumerate(workspaces)
    )
    routes = [make_route(f"/{number}/", priority=number) for number in range(3)]
    table = RouteTable(make_configuration(routes, workspaces=owners))
    return {
        (w, r): table.find_priority(routes[r], owners[w])
        for w, r in itertools.product(range(len(owners)), range(3))
    }


class UrgencyTests(unittest.TestCase):
    def test_routes_decide_where_all_workspaces_have_the_same_priority(self) -> None:
        """Guards against urgent routes that wait behind the least urgent one."""
        ranks = rank((1, 1))
        for workspace in (0, 1):
            self.assertEqual([ranks[workspace, r] for r in range(3)], [0, 1, 2])

    def test_the_priority_of_the_workspace_goes_first(self) -> None:
        ranks = rank((0, 2))
        self.assertEqual([ranks[0, r] for r in range(3)], [0, 1, 2])
        self.assertEqual([ranks[1, r] for r in range(3)], [3, 4, 5])

    def test_a_workspace_without_priority_goes_with_the_last(self) -> None:
        ranks = rank((0, None, 2))
        self.assertEqual(ranks[1, 0], ranks[2, 0])
        self.assertGreater(ranks[1, 0], ranks[0, 2])

    def test_without_any_priority_of_workspaces_routes_decide(self) -> None:
        self.assertEqual(rank((None,)), {(0, 0): 0, (0, 1): 1, (0, 2): 2})


if __name__ == "__main__":
    unittest.main()
