"""Blocks are assumed resident for a bounded time and until a miss shows otherwise."""

from __future__ import annotations

import unittest

from bamboopier_decisions.context.resident import RESIDENT_TTL_SECONDS, ResidentKeys


class ResidentKeysTests(unittest.TestCase):
    def test_an_entry_expires_after_its_time_to_live(self) -> None:
        resident = ResidentKeys()
        resident.confirm(0.0, [b"a", b"b", b"c"])
        resident.confirm(10.0, [b"a"])
        resident.remove(b"c")
        keys = [b"a", b"b", b"c"]
        self.assertEqual(resident.count_prefix(1.0, keys), 2)
        self.assertEqual(resident.count_prefix(RESIDENT_TTL_SECONDS + 1, keys), 1)
        self.assertEqual(resident.count_prefix(RESIDENT_TTL_SECONDS + 11, keys), 0)

    def test_a_miss_removes_all_older_blocks(self) -> None:
        resident = ResidentKeys()
        for now, key in enumerate((b"old", b"gone", b"new")):
            resident.confirm(float(now), [key])
        resident.record_miss(b"gone")
        self.assertEqual(len(resident), 1)
        self.assertEqual(resident.count_prefix(3.0, [b"new"]), 1)
