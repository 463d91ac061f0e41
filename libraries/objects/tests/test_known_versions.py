"""Tests of the fingerprint of what a process knows."""

from __future__ import annotations

import unittest

from bamboopier_objects.known_versions import KnownVersions


def make_known(versions: dict[str, int]) -> KnownVersions:
    known = KnownVersions()
    known.replace(versions)
    return known


class KnownVersionsTests(unittest.TestCase):
    def test_the_same_objects_have_the_same_fingerprint(self) -> None:
        listed = make_known({"k/a": 3, "k/b": 5})
        watched = make_known({"k/a": 2, "k/c": 4})
        watched.put("k/b", 5)
        watched.put("k/a", 3)
        self.assertNotEqual(watched.fingerprint, listed.fingerprint)
        watched.remove("k/c")
        self.assertEqual(watched.fingerprint, listed.fingerprint)

    def test_a_removed_object_changes_the_fingerprint(self) -> None:
        """Guards against a removal that leaves no trace in a list."""
        known = make_known({"k/a": 3, "k/b": 5})
        before = known.fingerprint
        self.assertTrue(known.replace({"k/b": 5}))
        self.assertNotEqual(known.fingerprint, before)
        self.assertIsNone(known.find("k/a"))

    def test_an_object_that_is_created_again_changes_the_fingerprint(self) -> None:
        known = make_known({"k/a": 3})
        self.assertNotEqual(known.fingerprint, make_known({"k/a": 9}).fingerprint)
        self.assertTrue(known.replace({"k/a": 9}))

    def test_the_same_list_changes_nothing(self) -> None:
        known = make_known({"k/a": 3})
        self.assertFalse(known.replace({"k/a": 3}))

    def test_nothing_has_no_fingerprint_of_its_own(self) -> None:
        known = make_known({"k/a": 3})
        known.remove("k/a")
        known.remove("k/b")
        self.assertEqual(known.fingerprint, KnownVersions().fingerprint)


if __name__ == "__main__":
    unittest.main()
