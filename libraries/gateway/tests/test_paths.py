"""Tests of matching paths to declared routes."""

from __future__ import annotations

import unittest

from bamboopier_configuration.model import Route, Service
from bamboopier_gateway.errors import CallerError
from bamboopier_gateway.paths import check_path, find_route

SERVICE = Service(
    "dispatch",
    "plain",
    routes=[
        Route("POST", "/vans", idempotent=False),
        Route("POST", "/boxes/", idempotent=True),
        Route("POST", "/Upper", idempotent=True),
    ],
)
# Each row: raw path, path of the matching route or None.
MATCHES = [
    ("/vans", "/vans"),
    ("/vans/", "/vans"),
    ("/vans/7", "/vans"),
    ("/VaNs/7", "/vans"),
    ("/%56ans", "/vans"),
    ("/vansx", None),
    ("/boxes", "/boxes/"),
    ("/boxes/7", "/boxes/"),
    ("/BOXES/7", None),
    ("/upper", None),
    ("/vans;x", None),
    ("/a%20b", None),
]
REFUSED = ["", "vans", "//vans", "/a//b", "/.", "/a/..", "/a/%2E%2e", "/..;x/a"]
REFUSED += ["/a%2fb", "/a%5Cb", "/a\\b", "/%00", "/%0a", "/%25%32%65", "/%f", "/\xe9"]
REFUSED += ["/%ff", "/a%3Fb", "/a%23b"]


class PathTests(unittest.TestCase):
    def test_each_spelling_matches_its_route(self) -> None:
        for raw_path, expected in MATCHES:
            with self.subTest(raw_path):
                route = find_route(SERVICE, "POST", check_path(raw_path))
                self.assertEqual(route.path if route else None, expected)

    def test_an_ambiguous_path_is_refused(self) -> None:
        for raw_path in REFUSED:
            with self.subTest(raw_path), self.assertRaises(CallerError):
                check_path(raw_path)
