"""Readers verify blocks before use."""

from __future__ import annotations

import unittest

from bamboopier_decisions.context.envelope import open_block, seal_block

SECRET = b"s" * 32
KEY = b"k" * 32
PAYLOAD = bytes(range(200))


class EnvelopeTests(unittest.TestCase):
    def setUp(self) -> None:
        self.sealed = seal_block(SECRET, KEY, "v1", PAYLOAD)

    def test_a_complete_block_opens(self) -> None:
        self.assertEqual(open_block(SECRET, KEY, "v1", self.sealed), PAYLOAD)

    def test_a_write_truncated_at_any_byte_is_a_miss(self) -> None:
        for length in range(len(self.sealed)):
            found = open_block(SECRET, KEY, "v1", self.sealed[:length])
            self.assertIsNone(found, length)

    def test_any_flipped_bit_is_a_miss(self) -> None:
        for position in range(len(self.sealed)):
            damaged = bytearray(self.sealed)
            damaged[position] ^= 1
            self.assertIsNone(open_block(SECRET, KEY, "v1", bytes(damaged)), position)

    def test_another_block_version_or_workspace_is_a_miss(self) -> None:
        self.assertIsNone(open_block(SECRET, b"o" * 32, "v1", self.sealed))
        self.assertIsNone(open_block(SECRET, KEY, "v2", self.sealed))
        self.assertIsNone(open_block(b"t" * 32, KEY, "v1", self.sealed))
