"""Joining operators' files into one configuration."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from bamboopier_configuration.collection import collect, find_files

from .builders import make_service, make_workspace

MODEL = {"name": "pillar-8b", "version": "v1"}
ROUTE = {"method": "POST", "path": "/vans", "idempotent": False}
# Each row: the files' contents, the path of the error, what was found, what is allowed.
FAULTS: list[tuple[list[dict[str, Any]], str, str, str]] = [
    (
        [{"models": [MODEL]}, {"models": [MODEL]}],
        "$.models[0].name",
        "duplicate name 'pillar-8b'",
        "a.bamboopier.json at $.models[0]",
    ),
    (
        [{"models": [MODEL, MODEL]}],
        "$.models[1].name",
        "duplicate name 'pillar-8b'",
        "a.bamboopier.json at $.models[0]",
    ),
    (
        [{"services": [make_service(kind="model", models=["lost"])]}],
        "$.services[0].models[0]",
        "unknown name 'lost'",
        "nothing is defined yet",
    ),
    (
        [
            {
                "services": [make_service(kind="model", models=["m"], store="lost")],
                "models": [{"name": "m", "version": "v1"}],
                "stores": [{"name": "kept"}],
            }
        ],
        "$.services[0].store",
        "unknown name 'lost'",
        "kept",
    ),
    (
        [{"services": [make_service(kind="model")]}],
        "$.services[0].models",
        "none",
        "at least one model",
    ),
    (
        [{"services": [make_service(store="kept")]}],
        "$.services[0].store",
        '"kept"',
        "nothing for a service of kind",
    ),
    (
        [{"workspaces": [make_workspace()]}],
        "$.workspaces[0].services[0]",
        "unknown name 'desk'",
        "nothing is defined yet",
    ),
    (
        [
            {"services": [make_service()], "workspaces": [make_workspace()]},
            {"workspaces": [make_workspace(name="other")]},
        ],
        "$.workspaces[0].api_key_digests[0]",
        "a digest that is already in use",
        "a.bamboopier.json at $.workspaces[0].api_key_digests[0]",
    ),
    (
        [{"services": [make_service(routes=[ROUTE, {**ROUTE, "idempotent": True}])]}],
        "$.services[0].routes[1]",
        "second route for POST /vans",
        "$.services[0].routes[0]",
    ),
    (
        [{"services": [make_service(routes=[{**ROUTE, "path": "/a/../vans"}])]}],
        "$.services[0].routes[0].path",
        "'/a/../vans'",
        "without '.' and '..'",
    ),
]


class CollectionTests(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def write(self, name: str, content: object) -> Path:
        path = self.folder / f"{name}.bamboopier.json"
        path.write_text(json.dumps(content))
        return path

    def test_each_fault_over_files_names_file_path_and_cure(self) -> None:
        for contents, path, found, allowed in FAULTS:
            with self.subTest(found):
                files = [
                    self.write(name, content)
                    for name, content in zip("ab", contents, strict=False)
                ]
                error = collect(files).unwrap_err()
                self.assertEqual((error.file, error.path), (str(files[-1]), path))
                self.assertEqual(error.found, found)
                self.assertIn(allowed, error.allowed)

    def test_files_are_found_below_a_folder(self) -> None:
        path = self.write("a", {})
        (self.folder / "other.json").write_text("{}")
        self.assertEqual(find_files([self.folder]), [path])
