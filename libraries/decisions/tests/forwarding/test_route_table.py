"""Tests of routes by host and longest prefix, and of workspaces by key."""

from __future__ import annotations

import random
import unittest

from bamboopier_decisions.forwarding.route_table import RouteTable, choose_service
from bamboopier_decisions.forwarding.specs import WeightedService

from .builders import make_configuration, make_route


class RouteTableTests(unittest.TestCase):
    def setUp(self) -> None:
        routes = [make_route("/a/"), make_route("/a/b/"), make_route("/")]
        self.table = RouteTable(make_configuration(routes))

    def find(self, path: str, host: str = "desk.example") -> str | None:
        route = self.table.find_route(host, path)
        return route.name if route is not None else None

    def test_the_longest_prefix_wins(self) -> None:
        cases = {
            "/a/x": "/a/",
            "/a/b/c/d": "/a/b/",
            "/a/b": "/a/",
            "/ab/c": "/",
            "/": "/",
        }
        for path, prefix in cases.items():
            with self.subTest(path):
                self.assertEqual(self.find(path), prefix)

    def test_another_host_has_no_route(self) -> None:
        self.assertIsNone(self.find("/a/x", "other.example"))

    def test_a_key_identifies_its_workspace(self) -> None:
        found = self.table.find_workspace("k2")
        self.assertEqual(found.name if found else None, "midlands")
        self.assertIsNone(self.table.find_workspace("k3"))

    def test_without_workspaces_no_key_is_needed(self) -> None:
        table = RouteTable(make_configuration([], workspaces=None))
        self.assertFalse(table.needs_key)

    def test_services_are_chosen_by_weight(self) -> None:
        services = (WeightedService("old", 90), WeightedService("new", 10))
        route = make_route("/a/", services=services)
        generator = random.Random(1)
        drawn = [choose_service(route, generator) for _ in range(1000)]
        self.assertTrue(50 < drawn.count("new") < 160)


if __name__ == "__main__":
    unittest.main()
