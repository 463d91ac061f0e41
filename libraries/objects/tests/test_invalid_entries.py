"""Reports of entries that cannot be read."""

from __future__ import annotations

import unittest
from unittest import mock

from structlog.testing import capture_logs

from bamboopier_objects.invalid_entries import (
    MAX_REPORTED,
    MAX_TEXT,
    SILENCE_SECONDS,
    InvalidEntries,
)

CLOCK = "bamboopier_objects.invalid_entries.time.monotonic"


class InvalidEntriesTests(unittest.TestCase):
    def report(self, entries: InvalidEntries, at: float, *keys: str) -> list[str]:
        """Report entries at a time; return those that are in the log."""
        with mock.patch(CLOCK, return_value=at), capture_logs() as logs:
            for key in keys:
                entries.report(key, "reason")
        return [line["key"] for line in logs]

    def test_an_entry_that_is_read_again_fills_no_log(self) -> None:
        """Guards against a line for each read of an entry that stays as it is."""
        entries = InvalidEntries()
        self.assertEqual(self.report(entries, 100.0, "i-1", "i-1"), ["i-1"])
        later = 100.0 + SILENCE_SECONDS
        self.assertEqual(self.report(entries, later - 1.0, "i-1"), [])
        self.assertEqual(self.report(entries, later, "i-1"), ["i-1"])
        self.assertEqual(entries.count, 4)

    def test_thousands_of_entries_fill_no_log(self) -> None:
        """Guards against a line for each of many entries, and a table of them all."""
        entries = InvalidEntries()
        keys = [f"i-{number}" for number in range(10_000)]
        self.assertEqual(self.report(entries, 100.0, *keys), keys[:MAX_REPORTED])
        self.assertEqual(self.report(entries, 130.0, *keys), [])
        self.assertEqual(len(self.report(entries, 161.0, *keys)), MAX_REPORTED)
        self.assertEqual(entries.count, 30_000)

    def test_a_long_name_and_reason_are_cut(self) -> None:
        entries = InvalidEntries()
        with capture_logs() as logs:
            entries.report("k" * 10_000, "r" * 10_000, target="i-1")
        self.assertEqual(len(logs[0]["key"]), MAX_TEXT)
        self.assertEqual(len(logs[0]["reason"]), MAX_TEXT)
        self.assertEqual(logs[0]["target"], "i-1")


if __name__ == "__main__":
    unittest.main()
