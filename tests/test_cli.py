"""Tests help, usage errors and start errors of the command line."""

from __future__ import annotations

import json
import socket
import unittest
from pathlib import Path
from typing import Any

from ports import HOST, find_port
from processes import Installation

from .builders import EXAMPLES

# Each row: arguments, exit code, text that standard error must contain.
USAGE_ERRORS: list[tuple[list[str], int, str]] = [
    (["chekc"], 2, "did you mean 'check'"),
    (["gateway"], 2, "--settings is missing"),
    (["gateway", "--setings", "x"], 2, "did you mean '--settings'"),
    (["gateway", "--settings", "none.json"], 2, "none.json: at $: found No such file"),
    (["version", "now"], 2, "unexpected argument now"),
    (["check", "nothing-here"], 2, "nothing-here"),
    (["explain", "1e5", "none.log"], 2, "none.log"),
]


class CommandLineTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.installation = cls.enterClassContext(Installation())

    def run_command(self, *arguments: str) -> Any:
        return self.installation.run_command(*arguments)

    def test_each_usage_error_is_one_line_on_standard_error(self) -> None:
        for arguments, status, text in USAGE_ERRORS:
            with self.subTest(arguments):
                done = self.run_command(*arguments)
                self.assertEqual(done.returncode, status)
                self.assertEqual(done.stdout, "")
                self.assertIn(text, done.stderr)
                self.assertEqual(done.stderr.count("\n"), 1, done.stderr)

    def test_help_needs_no_pager_and_goes_to_standard_output(self) -> None:
        for arguments in (
            ["--help"],
            ["help"],
            [],
            ["check", "--help"],
            ["gateway", "-h"],
        ):
            with self.subTest(arguments):
                done = self.run_command(*arguments)
                self.assertEqual((done.returncode, done.stderr), (0, ""))
                self.assertIn("Usage: bamboopier", done.stdout)
                self.assertIn("Exit codes", done.stdout)

    def test_check_and_version_print_json(self) -> None:
        found = json.loads(self.run_command("check", str(EXAMPLES), "--json").stdout)
        self.assertEqual((found["services"], found["workspaces"]), (3, 2))
        version = json.loads(self.run_command("version", "--json").stdout)
        self.assertTrue(version["bamboopier"])

    def test_an_invalid_file_is_reported_and_not_published(self) -> None:
        path = Path(self.installation.directory) / "wrong.bamboopier.json"
        path.write_text('{"services": [{"name": "a", "kind": "plan"}]}')
        self.addCleanup(path.unlink)
        self.installation.start_platform()
        url = self.installation.platform_url
        done = self.run_command("publish", str(path), "--platform", url)
        self.assertEqual(done.returncode, 2)
        self.assertIn('$.services[0].kind: found "plan"', done.stderr)
        self.assertIn('allowed: "model", "plain"', done.stderr)

    def test_a_port_in_use_is_reported_with_the_setting_to_change(self) -> None:
        for command in ("gateway", "agent"):
            for setting in ("listen", "admin"):
                with self.subTest(command=command, setting=setting):
                    self.check_port_in_use(command, setting)

    def check_port_in_use(self, command: str, setting: str) -> None:
        with socket.socket() as holder:
            holder.bind((HOST, 0))
            holder.listen()
            port = holder.getsockname()[1]
            settings = make_settings(command)
            settings[setting] = {"host": HOST, "port": port}
            path = Path(self.installation.directory) / f"{command}.json"
            path.write_text(json.dumps(settings))
            done = self.run_command(command, "--settings", str(path))
        self.assertEqual(done.returncode, 1)
        last = done.stderr.splitlines()[-1]
        self.assertIn(f"cannot listen on {HOST}:{port}: address already in use", last)
        self.assertIn(f"change '{setting}' in the settings", last)
        self.assertNotIn("Traceback", done.stderr)


def make_settings(command: str) -> dict[str, Any]:
    settings: dict[str, Any] = {
        "vm": "vm-1",
        "data_centre": "dc-east",
        "region": "midlands",
        "listen": {"host": HOST, "port": find_port()},
        "admin": {"host": HOST, "port": find_port()},
        "platform_url": f"http://{HOST}:9",
        "block_secret": "5a" * 32,
    }
    if command == "agent":
        settings |= {"target": "t", "service": "s", "target_url": f"http://{HOST}:9"}
    return settings
