"""Removal of hop-by-hop headers."""

from __future__ import annotations

import unittest

from bamboopier_daemon.headers import drop_hop_headers


class HeaderTests(unittest.TestCase):
    def test_hop_headers_and_those_named_by_connection_are_dropped(self) -> None:
        headers = [
            ("Connection", "close, X-Named"),
            ("x-named", "1"),
            ("Keep-Alive", "timeout=5"),
            ("Transfer-Encoding", "chunked"),
            ("Set-Cookie", "a=1"),
            ("Set-Cookie", "b=2"),
        ]
        passed = drop_hop_headers(headers)
        self.assertEqual(passed, (("Set-Cookie", "a=1"), ("Set-Cookie", "b=2")))
