"""The steps of a roll-out, its end, and what takes it back."""

from __future__ import annotations

import unittest
from typing import Any

from bamboopier_decisions.rollouts import schedule
from bamboopier_decisions.rollouts.judge import Verdict
from bamboopier_decisions.rollouts.order import RolloutState, RolloutStatus
from bamboopier_decisions.rollouts.schedule import DEADLINE_MARGIN_SECONDS

from .builders import (
    MAX_EXPOSURE,
    NEW,
    OLD,
    SECONDS,
    make_progress,
    make_rollout,
    make_status,
)


def decide(status: RolloutStatus, **changes: Any) -> RolloutStatus | None:
    progress = make_progress(**changes)
    return schedule.decide(SECONDS, status, progress, MAX_EXPOSURE)


class ScheduleTests(unittest.TestCase):
    def test_the_first_status_names_the_former_versions(self) -> None:
        status = schedule.start(make_rollout(), 5.0, frozenset({OLD, NEW}))
        self.assertEqual(status.former, (OLD,))
        self.assertEqual((status.share, status.started_at), (0.0, 5.0))

    def test_a_replaced_trial_is_no_former_version(self) -> None:
        rollout = make_rollout(make_status(), 2, "v3")
        status = schedule.start(rollout, 5.0, frozenset({OLD, NEW, "v3"}))
        self.assertEqual(status.former, (OLD,))

    def test_half_of_the_answers_in_time_do_not_shorten_the_trial(self) -> None:
        """Guards against a version that gets everything before it turns bad."""
        self.assertIsNone(decide(make_status(share=0.06), elapsed=0.39 * SECONDS))

    def test_few_answers_hold_a_share_back_for_a_while(self) -> None:
        status, elapsed = make_status(share=0.15), 0.5 * SECONDS
        self.assertIsNone(decide(status, elapsed=elapsed, answers=3))
        decided = decide(status, elapsed=elapsed, answers=3, since_step=0.11 * SECONDS)
        assert decided is not None
        self.assertAlmostEqual(decided.share, 0.4)

    def test_a_suspicion_holds_a_share_back(self) -> None:
        status = make_status(share=0.15)
        self.assertIsNone(
            decide(
                status, elapsed=0.5 * SECONDS, verdict=Verdict.SUSPECT, since_step=2.0
            )
        )

    def test_a_bad_version_is_taken_back_with_the_reason(self) -> None:
        decided = decide(make_status(), verdict=Verdict.BAD, reason="route orders")
        assert decided is not None
        self.assertIs(decided.state, RolloutState.ROLLED_BACK)
        self.assertEqual((decided.share, decided.reason), (0.0, "route orders"))

    def test_a_version_suspected_at_the_deadline_is_taken_back(self) -> None:
        decided = decide(
            make_status(share=1.0), elapsed=SECONDS, verdict=Verdict.SUSPECT
        )
        assert decided is not None
        self.assertIs(decided.state, RolloutState.ROLLED_BACK)

    def test_completion_awaits_the_requests_at_former_versions(self) -> None:
        """Guards against responses that are cut when the old targets stop at once."""
        status = make_status(share=1.0)
        self.assertIsNone(decide(status, elapsed=0.7 * SECONDS))
        decided = decide(status, elapsed=0.7 * SECONDS, is_drained=True)
        assert decided is not None
        self.assertIs(decided.state, RolloutState.COMPLETED)

    def test_completion_awaits_them_no_longer_than_the_deadline_allows(self) -> None:
        elapsed = SECONDS - DEADLINE_MARGIN_SECONDS
        decided = decide(make_status(share=1.0), elapsed=elapsed)
        assert decided is not None
        self.assertIs(decided.state, RolloutState.COMPLETED)

    def test_a_version_that_no_target_has_is_taken_back_at_the_deadline(self) -> None:
        nobody = frozenset({OLD})
        self.assertIsNone(decide(make_status(share=0.0), versions=nobody))
        decided = decide(make_status(share=0.0), versions=nobody, elapsed=SECONDS)
        assert decided is not None
        self.assertEqual(decided.reason, "no target has this version")
