"""Beliefs about the engine end when they are no longer true."""

from __future__ import annotations

import unittest

from bamboopier_decisions.context.resident import RESIDENT_TTL_SECONDS, ResidentKeys


class ResidentKeysTests(unittest.TestCase):
    def test_a_belief_lasts_no_longer_than_its_bound(self) -> None:
        resident = ResidentKeys()
        resident.confirm(0.0, [b"a", b"b", b"c"])
        resident.confirm(10.0, [b"a"])
        resident.remove(b"c")
        keys = [b"a", b"b", b"c"]
        self.assertEqual(resident.count_prefix(1.0, keys), 2)
        self.assertEqual(resident.count_prefix(RESIDENT_TTL_SECONDS + 1, keys), 1)
        self.assertEqual(resident.count_prefix(RESIDENT_TTL_SECONDS + 11, keys), 0)

    def test_an_absent_block_ends_the_belief_in_all_older_ones(self) -> None:
        resident = ResidentKeys()
        for now, key in enumerate((b"old", b"gone", b"new")):
            resident.confirm(float(now), [key])
        resident.record_miss(b"gone")
        self.assertEqual(len(resident), 1)
        self.assertEqual(resident.count_prefix(3.0, [b"new"]), 1)
