"""Joining operators' files."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from bamboopier_configuration.collection import collect, find_files


class CollectionTests(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def write(self, name: str, content: object) -> Path:
        path = self.folder / f"{name}.bamboopier.json"
        path.write_text(json.dumps(content))
        return path

    def test_the_same_name_in_two_files_is_refused(self) -> None:
        content = {"models": [{"name": "pillar-8b", "version": "v1"}]}
        first = self.write("a", content)
        second = self.write("b", content)
        error = collect([first, second]).unwrap_err()
        self.assertEqual(error.file, str(second))
        self.assertEqual(error.path, "$.models[0].name")
        self.assertIn(str(first), error.allowed)

    def test_a_model_that_no_file_defines_is_refused(self) -> None:
        service = {"name": "desk", "kind": "model", "models": ["lost"]}
        path = self.write("a", {"services": [service]})
        error = collect([path]).unwrap_err()
        self.assertIn("lost", error.found)

    def test_files_are_found_below_a_folder(self) -> None:
        path = self.write("a", {})
        (self.folder / "other.json").write_text("{}")
        self.assertEqual(find_files([self.folder]), [path])
