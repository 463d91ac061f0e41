"""Since when new weights are taken to be named by a process that heard of them."""

from __future__ import annotations

import unittest
from unittest import mock

from result import Ok

from bamboopier_decisions.forwarding.pauses import Pauses
from bamboopier_decisions.forwarding.weight_versions import WeightVersions
from bamboopier_objects.objects import ChangedObject, Listing, StoredObject
from bamboopier_proxy.observers import WeightsObserver
from bamboopier_proxy.vocabulary import NamedWeights

NEVER = float("-inf")


class WeightsObserverTests(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        module = "bamboopier_proxy.observers"
        self.enterContext(
            mock.patch(f"{module}.read_clock", side_effect=lambda: self.now)
        )
        self.log = self.enterContext(mock.patch(f"{module}.log"))
        vocabulary = mock.Mock()
        vocabulary.decode_weights.side_effect = lambda value: Ok(
            NamedWeights("m", int(value))
        )
        self.pauses = Pauses(self.now)
        self.weights = WeightVersions(12.0)
        self.changed = mock.Mock()
        self.observer = WeightsObserver(
            vocabulary, self.weights, self.pauses, self.changed
        )

    def tell(self, version: int) -> None:
        """Tell of a version as a watch does."""
        self.observer.take_change(ChangedObject("v/m", 9, str(version).encode()))

    def list(self, version: int, known_until: float) -> None:
        """Tell of a version as a list does."""
        found = StoredObject("v/m", 9, str(version).encode())
        self.observer.take_listing(Listing(9, (found,)), 0.0, known_until)

    def test_what_a_watch_tells_was_named_just_now(self) -> None:
        self.tell(2)
        self.assertEqual(self.weights.find_since("m"), 100.0)
        self.changed.assert_called_once_with(NamedWeights("m", 2), 100.0)

    def test_what_was_told_during_a_pause_may_be_as_old_as_that(self) -> None:
        # The process stands still for 3.3 s. The watch's answer is the first thing it
        # reads then, and says nothing of when the version was named.
        self.now = 103.3
        self.tell(2)
        self.assertEqual(self.weights.find_since("m"), 100.0)
        self.assertEqual(self.log.info.call_args.kwargs["age_seconds"], 3.3)

    def test_a_list_after_a_silent_watch_goes_back_to_its_start(self) -> None:
        self.list(1, NEVER)
        self.list(2, 98.5)
        self.assertEqual(self.weights.find_since("m"), 98.5)
        self.changed.assert_called_once_with(NamedWeights("m", 2), 98.5)

    def test_the_first_list_says_nothing_of_when(self) -> None:
        self.list(4, NEVER)
        self.assertEqual(self.weights.find_oldest_allowed(self.now, "m"), 4)
        self.changed.assert_not_called()
        self.assertIsNone(self.log.info.call_args.kwargs["age_seconds"])

    def test_a_version_that_is_listed_again_keeps_its_time(self) -> None:
        self.tell(2)
        self.now = 108.0
        self.list(2, 106.0)
        self.assertEqual(self.weights.find_since("m"), 100.0)


if __name__ == "__main__":
    unittest.main()
