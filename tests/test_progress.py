"""What long work shows of its progress."""

from __future__ import annotations

import contextlib
import io
import unittest

from progress import show_progress


class ProgressTests(unittest.TestCase):
    def test_plain_lines_are_written_where_there_is_no_terminal(self) -> None:
        """Guards against a log of control characters, or an hour without a line."""
        output = io.StringIO()
        with (
            contextlib.redirect_stderr(output),
            show_progress(2, "suite") as record,
        ):
            record("platform.pages")
            record("proxy.hints")
        lines = ["1 of 2: platform.pages", "2 of 2: proxy.hints"]
        self.assertEqual(output.getvalue().splitlines(), lines)


if __name__ == "__main__":
    unittest.main()
