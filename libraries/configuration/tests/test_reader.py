"""Errors that are reported for an invalid file."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from bamboopier_configuration.model import ConfigurationFile
from bamboopier_configuration.reader import MAX_VALUE_CHARACTERS, decode, read_file

from .builders import make_service, make_workspace

# Each row: the file's content, the path, what was found, what is allowed.
FAULTS: list[tuple[Any, str, str, str]] = [
    ({"servces": []}, "$", "unknown key 'servces'", "did you mean 'services'"),
    (
        {"services": [make_service(modls=[])]},
        "$.services[0]",
        "unknown key 'modls'",
        "did you mean 'models'",
    ),
    ({"drains": {"targets": []}}, "$", "unknown key 'drains'", "commands drain"),
    ({"services": {}}, "$.services", "{}", "array"),
    ({"services": [make_service(name=7)]}, "$.services[0].name", "7", "str"),
    (
        {"services": [make_service(loads_at_once=17)]},
        "$.services[0].loads_at_once",
        "17",
        "int <= 16",
    ),
    (
        {"services": [make_service(kind="batch")]},
        "$.services[0].kind",
        '"batch"',
        '"model", "plain"',
    ),
    ({"services": [{"name": "desk"}]}, "$.services[0]", "no 'kind'", "required"),
    ({"services": [make_service(name="A")]}, "$.services[0].name", '"A"', "regex"),
    ([], "$", "[]", "object"),
]
BROKEN: list[tuple[bytes, str]] = [
    (b"", "truncated"),
    (b'{"services": [}', "malformed"),
    (b'{"models": [{"name": "\xff", "version": "v1"}]}', "UTF-8"),
    (b'{"models": [], "models": []}', "duplicate key 'models'"),
    (b"[" * 100_000, "found"),
]


class ReaderTests(unittest.TestCase):
    def test_each_fault_names_path_value_and_what_is_allowed(self) -> None:
        for content, path, found, allowed in FAULTS:
            with self.subTest(content):
                result = decode(json.dumps(content).encode(), ConfigurationFile, "f")
                error = result.unwrap_err()
                self.assertEqual(error.path, path)
                self.assertIn(found, error.found)
                self.assertIn(allowed, error.allowed)
                self.assertNotIn("\n", str(error))

    def test_broken_json_is_refused_in_one_line(self) -> None:
        for content, found in BROKEN:
            with self.subTest(content[:20]):
                error = decode(content, ConfigurationFile, "f").unwrap_err()
                self.assertIn(found, str(error))
                self.assertNotIn("\n", str(error))

    def test_a_secret_is_never_shown(self) -> None:
        # The usual mistake: the API key itself in place of its digest.
        workspace = make_workspace(api_key_digests=["my-secret-key"])
        content = json.dumps({"workspaces": [workspace]}).encode()
        error = decode(content, ConfigurationFile, "f").unwrap_err()
        self.assertNotIn("my-secret-key", str(error))
        self.assertIn("13 characters", error.found)

    def test_a_long_value_is_cut(self) -> None:
        content = json.dumps({"services": [make_service(kind="x" * 5000)]}).encode()
        error = decode(content, ConfigurationFile, "f").unwrap_err()
        self.assertLess(len(error.found), MAX_VALUE_CHARACTERS + 10)

    def test_a_missing_file_and_a_folder_are_named(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for path in (Path(folder), Path(folder) / "none.json"):
                error = read_file(path, ConfigurationFile).unwrap_err()
                self.assertEqual(error.file, str(path))
                self.assertIn("readable JSON file", error.allowed)
