"""Lines about what strangers do are limited, and say what they stand for."""

from __future__ import annotations

import unittest

from bamboopier_daemon.line_limit import LINE_SECONDS, LineLimit


class LineLimitTests(unittest.TestCase):
    def test_a_flood_gets_one_line_a_second(self) -> None:
        """Guards against a crowd whose lines push out all others."""
        now = 0.0
        lines = LineLimit(lambda: now)
        self.assertEqual([lines.count("a") for _ in range(5)], [1, 0, 0, 0, 0])
        self.assertEqual(lines.count("b"), 1)
        now = LINE_SECONDS
        self.assertEqual(lines.count("a"), 5)


if __name__ == "__main__":
    unittest.main()
