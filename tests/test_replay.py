"""Tests the replay of a trace against real processes and stated outcomes."""

from __future__ import annotations

import json
import tempfile
import unittest
from collections import Counter
from pathlib import Path

from processes import Installation

from bamboopier_replay.synthetic_traces import make_dispatch_trace
from bamboopier_replay.trace import write_trace

from .builders import FOSSE_KEY, VANS, build_small_installation

DISPATCHES = 20
ATTEMPTS = 3


class ReplayTests(unittest.TestCase):
    def setUp(self) -> None:
        self.installation = self.enterContext(Installation())
        build_small_installation(self.installation, gateways=2)
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        (self.folder / "keys").write_text(json.dumps({"fosse-midlands": FOSSE_KEY}))
        write_trace(self.folder / "trace", make_dispatch_trace(7, DISPATCHES, ATTEMPTS))

    def replay(self, answered_share: float) -> tuple[int, str]:
        stated = [
            {"measure": "answered_share", "at_least": answered_share},
            {"measure": "keys_with_two_answers", "at_most": 0},
        ]
        (self.folder / "outcomes").write_text(json.dumps(stated))
        done = self.installation.run_command(
            "replay",
            f"--trace={self.folder / 'trace'}",
            f"--gateways={','.join(self.installation.gateways.values())}",
            f"--keys={self.folder / 'keys'}",
            f"--outcomes={self.folder / 'outcomes'}",
            "--speed=20",
            "--json",
        )
        return done.returncode, done.stdout + done.stderr

    def test_repeated_dispatches_through_two_gateways_run_once_each(self) -> None:
        # Each of 20 dispatches is sent three times with its key, the repeats through
        # the other gateway. A repeat gets the first response or, while the first
        # attempt still runs, an error that reports this. Each dispatch runs once.
        status, output = self.replay(answered_share=1 / ATTEMPTS)
        self.assertEqual(status, 0, output)
        log = self.installation.read_target_log(VANS)
        runs = Counter(entry["body"] for entry in log)
        self.assertEqual(set(runs.values()), {1}, output)
        self.assertEqual(len(runs), DISPATCHES, output)

    def test_a_missed_outcome_exits_with_status_one(self) -> None:
        # One gateway is killed before the replay. Its callers get connection errors,
        # the stated share of responses is missed, and the command reports that.
        self.installation.daemons["gateway-2"].kill()
        status, output = self.replay(answered_share=1.0)
        self.assertEqual(status, 1, output)
        self.assertIn("1 expectations missed", output)
