"""What the entries of targets cost a gateway."""

from __future__ import annotations

import unittest
from unittest import mock

from result import Err

from bamboopier_decisions.forwarding.fleet import Fleet
from bamboopier_decisions.forwarding.version_history import VersionHistory
from bamboopier_objects.objects import ChangedObject, Listing, StoredObject
from bamboopier_proxy.observers import TargetObserver
from bamboopier_proxy.store_availability import StoreAvailability


class TargetObserverTests(unittest.TestCase):
    def setUp(self) -> None:
        self.schema = mock.Mock(targets_prefix="t/")
        self.schema.decode_target.return_value = Err("no target")
        self.observer = TargetObserver(
            self.schema, Fleet(), StoreAvailability(), VersionHistory(), mock.Mock()
        )

    def list_entries(self, *versions: int, value: bytes = b"x") -> int:
        """Apply a list of entries of these versions; return how many are decoded."""
        before = self.schema.decode_target.call_count
        objects = (
            StoredObject(f"t/i-{number}", version, value)
            for number, version in enumerate(versions)
        )
        self.observer.apply_listing(Listing(9, tuple(objects)), 0.0, 0.0)
        return int(self.schema.decode_target.call_count) - before

    def test_entries_that_cannot_be_read_are_decoded_once(self) -> None:
        """Guards against thousands of bad entries that hold up each read of a list."""
        self.assertEqual(self.list_entries(3, 4, 5), 3)
        self.assertEqual(self.list_entries(3, 4, 5), 0)
        self.assertEqual(self.list_entries(3, 4, 6), 1)
        self.assertEqual(self.list_entries(3), 0)
        # Nothing is kept of those that are gone.
        self.assertEqual(self.list_entries(3, 4), 1)

    def test_a_changed_entry_is_decoded_again(self) -> None:
        """Guards against a target that is not used since its entry was bad once."""
        self.list_entries(3)
        self.observer.apply_change(ChangedObject("t/i-0", 4, b"y"), 0.0, late=False)
        self.assertEqual(self.list_entries(3), 1)
        self.assertEqual(self.list_entries(4), 1)

    def test_an_entry_whose_value_was_left_out_is_decoded_again(self) -> None:
        """Guards against a sound target that is not used after a crowded list."""
        self.assertEqual(self.list_entries(3, 4, value=b""), 2)
        self.assertEqual(self.list_entries(3, 4), 2)


if __name__ == "__main__":
    unittest.main()
