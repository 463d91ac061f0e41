"""Tests of the explain command, with text and JSON output."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from bamboopier_cli.commands.explain import explain
from bamboopier_cli.exit_codes import USAGE_ERROR, CommandError

CHOSEN = {
    "event": "target chosen",
    "request_id": "abc1",
    "target": "desk-1",
    "reason": "prefix",
    "candidates": {"desk-1": 0.02, "desk-2": 0.5},
    "timestamp": "2026-01-01T00:00:01Z",
}
REFUSED = {
    "event": "attempt refused",
    "request_id": "abc1",
    "target": "desk-1",
    "reason": "QUEUE_FULL",
    "timestamp": "2026-01-01T00:00:02Z",
}
OTHER = {**CHOSEN, "request_id": "abd2"}


class ExplainTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.gateway, self.agent = folder / "gateway.log", folder / "agent.log"
        lines = ["a traceback", "{broken", json.dumps(OTHER)]
        self.gateway.write_text("\n".join([*lines, "node7: " + json.dumps(CHOSEN)]))
        self.agent.write_text(json.dumps(REFUSED) + "\n")

    def test_lines_of_both_processes_are_printed_in_order(self) -> None:
        text = explain("abc1", str(self.agent), str(self.gateway))
        self.assertLess(text.index("target chosen"), text.index("attempt refused"))
        self.assertIn("desk-2 0.5", text)
        self.assertIn("the agent's queue was full", text)
        self.assertNotIn("abd2", text)

    def test_json_holds_the_same_lines(self) -> None:
        lines = json.loads(explain("abc", str(self.gateway), json=True))
        self.assertEqual([line["request_id"] for line in lines], ["abc1"])
        self.assertEqual(lines[0]["details"]["target"], "desk-1")

    def test_a_prefix_of_two_request_ids_is_refused(self) -> None:
        with self.assertRaisesRegex(CommandError, "matches 2 request ids") as caught:
            explain("ab", str(self.gateway))
        self.assertEqual(caught.exception.status, USAGE_ERROR)

    def test_nothing_found_and_no_such_file_are_errors(self) -> None:
        with self.assertRaisesRegex(CommandError, "no decision about 'zzz'"):
            explain("zzz", str(self.gateway))
        with self.assertRaisesRegex(CommandError, "No such file"):
            explain("zzz", str(self.gateway) + ".none")
