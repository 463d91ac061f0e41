"""What answers to watches prove, and from which revision the next one begins."""

from __future__ import annotations

import unittest

from bamboopier_decisions.forwarding.watch_position import (
    OMISSION_SECONDS,
    WatchPosition,
)

# Seconds that one watch lasts.
WAIT = 0.8


class WatchPositionTests(unittest.TestCase):
    def test_a_change_left_out_of_an_answer_is_asked_for_again(self) -> None:
        # Guards against a change that the store left out of its last answers before it
        # dropped its history: watched from beyond it, it would never be told.
        position = WatchPosition(10)
        # The change has revision 15 and is made at 101.0. The answers until 101.9 leave
        # it out and go on beyond it; one made at 102.4 would tell it.
        for made, revision in ((100.8, 12), (101.6, 20), (101.9, 22)):
            position.record_unchanged(made, made, revision)
            self.assertLess(position.revision, 15)

    def test_an_answer_proves_nothing_of_the_second_before_it(self) -> None:
        # Guards against a key that was taken away in that second being trusted on.
        position = WatchPosition(10)
        proved = position.record_unchanged(100.0 + WAIT, 101.5, 20)
        self.assertAlmostEqual(proved, 100.0 + WAIT - OMISSION_SECONDS)

    def test_the_revision_goes_on_so_that_the_history_is_never_lost(self) -> None:
        # Guards against watching from a revision that is older than the history, and
        # reading a megabyte again each time.
        position = WatchPosition(10)
        for count in range(10):
            made = 100.0 + count * WAIT
            position.record_unchanged(made, made, 20 + count)
        self.assertEqual(position.revision, 27)


if __name__ == "__main__":
    unittest.main()
