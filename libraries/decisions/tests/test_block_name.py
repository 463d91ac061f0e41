"""Names of stored blocks are parsed, other names are rejected."""

from __future__ import annotations

import unittest

from bamboopier_decisions.context.block_name import BlockName, parse_block_name

TAG = f"{1:016x}"


class BlockNameTests(unittest.TestCase):
    def test_names_round_trip(self) -> None:
        name = BlockName(TAG, 7, b"k" * 32)
        self.assertEqual(parse_block_name(str(name)), name)
        for text in ("", "junk", "a-b-c", f"{TAG}-0007-zz"):
            self.assertIsNone(parse_block_name(text), text)
