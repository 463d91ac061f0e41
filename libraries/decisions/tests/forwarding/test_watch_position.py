"""Tests of what responses to watches confirm, and where the next watch starts."""

from __future__ import annotations

import unittest

from bamboopier_decisions.forwarding.watch_position import (
    OMISSION_SECONDS,
    WatchPosition,
)

# Duration of one watch in seconds.
WAIT = 0.8


class WatchPositionTests(unittest.TestCase):
    def test_a_change_omitted_from_a_response_is_watched_for_again(self) -> None:
        # Guards against a change that the store omitted from its last responses before
        # it dropped its history: a watch from a later revision would never report it.
        position = WatchPosition(10)
        # The change has revision 15 and is made at 101.0. The responses until 101.9
        # omit it and continue after it; one made at 102.4 would contain it.
        for made, revision in ((100.8, 12), (101.6, 20), (101.9, 22)):
            position.record_unchanged(made, made, revision)
            self.assertLess(position.revision, 15)

    def test_a_response_confirms_nothing_of_the_second_before_it(self) -> None:
        # Guards against a key that was revoked in that second and stays in use.
        position = WatchPosition(10)
        proved = position.record_unchanged(100.0 + WAIT, 101.5, 20)
        self.assertAlmostEqual(proved, 100.0 + WAIT - OMISSION_SECONDS)

    def test_the_revision_advances_within_the_history(self) -> None:
        # Guards against watching from a revision that is older than the history, and
        # reading a megabyte again each time.
        position = WatchPosition(10)
        for count in range(10):
            made = 100.0 + count * WAIT
            position.record_unchanged(made, made, 20 + count)
        self.assertEqual(position.revision, 27)


if __name__ == "__main__":
    unittest.main()
