"""Tests that equal prompts of two workspaces share no cache keys."""

from __future__ import annotations

import json
import unittest
from typing import TYPE_CHECKING

from bamboopier_configuration.directory import Directory
from bamboopier_configuration.model import Configuration, Model
from bamboopier_gateway.prompt import PromptReader, WordTokenizer

if TYPE_CHECKING:
    from bamboopier_gateway.call import ModelCall

DIRECTORY = Directory(1, Configuration(models=[Model("m", "v1", block_tokens=16)]))


def read(workspace: str, version: str = "v1") -> ModelCall:
    """Read the same prompt for a workspace."""
    reader = PromptReader(b"b" * 32, WordTokenizer(), lambda _: version)
    words = " ".join(f"word-{n}" for n in range(64))
    # A caller may try to address another workspace's part of the engine's cache.
    body = {"model": "m", "prompt": words, "cache_salt": "chosen by the caller"}
    content = json.dumps(body).encode()
    return reader.read("/v1/completions", content, workspace, DIRECTORY)


class PromptTests(unittest.TestCase):
    def test_workspaces_share_neither_salt_nor_keys(self) -> None:
        # With a common salt the engine's own prefix cache would respond faster to the
        # second workspace, which would reveal the prompts of the first.
        first, again, second = read("fosse"), read("fosse"), read("gouda")
        self.assertEqual(first, again)
        self.assertNotIn(first.cache_salt, ("", "chosen by the caller"))
        self.assertNotEqual(first.cache_salt, second.cache_salt)
        self.assertEqual(len(first.block_keys), 4)
        self.assertFalse(set(first.block_keys) & set(second.block_keys))

    def test_weight_versions_share_no_keys(self) -> None:
        first, second = read("fosse"), read("fosse", "v2")
        self.assertFalse(set(first.block_keys) & set(second.block_keys))
