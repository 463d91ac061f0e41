"""When an attempt at a stalled target is moved, or ended for its caller."""

from __future__ import annotations

import unittest

from bamboopier_decisions.forwarding.stalled_attempt import (
    StallAction,
    StalledAttempt,
    choose_action,
)

SILENT_SINCE = 100.0


class StalledAttemptTests(unittest.TestCase):
    def find_changes(
        self, patience: float, *, response_started: bool
    ) -> list[tuple[float, StallAction]]:
        """Return from which seconds of silence on each action is chosen."""
        attempt = StalledAttempt(
            True, SILENT_SINCE, SILENT_SINCE + patience, response_started
        )
        changes: list[tuple[float, StallAction]] = []
        for step in range(int(patience * 100) + 1):
            seconds = step / 100
            action = choose_action(SILENT_SINCE + seconds + 1e-6, attempt)
            if not changes or changes[-1][1] is not action:
                changes.append((seconds, action))
        return changes

    def test_an_attempt_is_moved_and_its_caller_answered_before_it_leaves(self) -> None:
        # Guards against a request that a suspended target still has when its caller
        # leaves.
        self.assertEqual(
            self.find_changes(3.2, response_started=False),
            [
                (0.0, StallAction.WAIT),
                (1.0, StallAction.MOVE),
                (2.8, StallAction.END),
            ],
        )

    def test_an_impatient_caller_leaves_the_other_target_half_of_the_time(self) -> None:
        # Guards against a move so late that its caller leaves all the same.
        self.assertEqual(
            self.find_changes(1.0, response_started=False),
            [(0.0, StallAction.WAIT), (0.5, StallAction.MOVE), (0.6, StallAction.END)],
        )

    def test_a_response_that_has_started_is_not_ended(self) -> None:
        # Guards against a stream that is broken off although its target may resume: no
        # other final response can reach its caller.
        actions = [a for _, a in self.find_changes(3.2, response_started=True)]
        self.assertNotIn(StallAction.END, actions)
        self.assertIs(actions[-1], StallAction.WAIT)


if __name__ == "__main__":
    unittest.main()
