"""Tests the commands and JSON examples of the documentation pages."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import unittest
from typing import TYPE_CHECKING

from processes import Installation

from bamboopier_agent.metrics import AgentMetrics
from bamboopier_configuration.model import ConfigurationFile
from bamboopier_configuration.reader import decode
from bamboopier_configuration.settings import AgentSettings, GatewaySettings
from bamboopier_gateway.errors import CallerError, ErrorCode
from bamboopier_gateway.metrics import GatewayMetrics

from .builders import FOSSE_KEY, build_small_installation
from .pages import NOT_RUN, PAGES, ROOT, CodeBlock, list_code_blocks

if TYPE_CHECKING:
    from pathlib import Path

JSON_BLOCK_TYPES = {
    "json configuration": ConfigurationFile,
    "json gateway-settings": GatewaySettings,
    "json agent-settings": AgentSettings,
}
OTHER_BLOCK_INFOS = {"sh", "text", "json error"}
COMMAND_TIMEOUT_SECONDS = 120
_MODULE = re.compile(r"`(\w+)/([\w/]+\.py)`")
_LINK = re.compile(r"\]\(([^)#]+)(?:#[^)]*)?\)")


class PageTests(unittest.TestCase):
    def test_every_code_block_has_a_known_kind(self) -> None:
        for block in list_code_blocks():
            known = block.info in JSON_BLOCK_TYPES or block.info in OTHER_BLOCK_INFOS
            reason = block.info.removeprefix(NOT_RUN).strip()
            marked = block.info.startswith(NOT_RUN) and len(reason) > 10
            self.assertTrue(known or marked, str(block))

    def test_every_json_example_fits_its_type(self) -> None:
        for info, kind in JSON_BLOCK_TYPES.items():
            for block in list_code_blocks(info):
                with self.subTest(str(block)):
                    decode(block.body.encode(), kind, str(block)).unwrap()

    def test_the_error_example_is_what_callers_get(self) -> None:
        for block in list_code_blocks("json error"):
            shown = json.loads(block.body)["error"]
            error = CallerError(ErrorCode(shown["code"]), shown["message"])
            made = json.loads(error.make_body(shown["request_id"]))["error"]
            self.assertEqual(shown, made)

    def test_every_error_code_and_metric_is_explained(self) -> None:
        callers = (ROOT / "docs/callers.md").read_text()
        for code in ErrorCode:
            self.assertIn(f"| `{code.value}` | {code.status} |", callers)
        operators = (ROOT / "docs/operators.md").read_text()
        for registry in (GatewayMetrics().registry, AgentMetrics().registry):
            for metric in registry.collect():
                self.assertIn(f"`{metric.name}`", operators)

    def test_every_link_leads_to_a_file(self) -> None:
        for page in PAGES:
            path = ROOT / page
            for target in _LINK.findall(path.read_text()):
                if "://" not in target:
                    self.assertTrue(
                        (path.parent / target).exists(), f"{page}: {target}"
                    )

    def test_every_module_that_a_page_names_exists(self) -> None:
        for page in ("docs/architecture.md", "docs/style.md"):
            for library, rest in _MODULE.findall((ROOT / page).read_text()):
                source = ROOT / "libraries" / library / "src" / f"bamboopier_{library}"
                found = (source / rest).exists() or (ROOT / library / rest).exists()
                self.assertTrue(found, f"{page}: {library}/{rest}")


class CommandTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.installation = cls.enterClassContext(Installation())
        build_small_installation(cls.installation)
        cls.folder = cls.installation.directory / "reader"
        make_folder(cls.folder, cls.installation)
        cls.environment = {
            **os.environ,
            "PATH": f"{cls.folder / 'bin'}:{os.environ['PATH']}",
            "PLATFORM": cls.installation.platform_url,
            "GATEWAY": cls.installation.gateways["gateway-1"],
            "GATEWAY_ADMIN": cls.installation.admin["gateway-1"],
            "AGENT_ADMIN": cls.installation.admin["desk-1-agent"],
            "KEY": FOSSE_KEY,
        }

    def test_every_command_of_the_pages_works(self) -> None:
        blocks = list_code_blocks("sh")
        self.assertGreater(len(blocks), 10)
        for block in blocks:
            with self.subTest(str(block)):
                self.run_block(block)

    def run_block(self, block: CodeBlock) -> None:
        done = subprocess.run(
            ["bash", "-euo", "pipefail", "-c", block.body],
            cwd=self.folder,
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_SECONDS,
        )
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)


def make_folder(folder: Path, installation: Installation) -> None:
    """Create a folder with the examples, logs and command that the pages use."""
    for part in ("bin", "logs"):
        (folder / part).mkdir(parents=True)
    (folder / "examples").symlink_to(ROOT / "examples")
    for name, daemon in installation.daemons.items():
        (folder / "logs" / f"{name}.log").symlink_to(daemon.output)
    command = folder / "bin" / "bamboopier"
    command.write_text(f'#!/bin/sh\nexec {sys.executable} -m bamboopier_cli "$@"\n')
    command.chmod(0o755)
