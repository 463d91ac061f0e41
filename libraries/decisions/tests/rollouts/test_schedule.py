"""The steps of a roll-out, its end, and what takes it back."""

from __future__ import annotations

import unittest
from typing import Any

from bamboopier_decisions.rollouts import schedule
from bamboopier_decisions.rollouts.judge import Verdict
from bamboopier_decisions.rollouts.order import RolloutState, RolloutStatus
from bamboopier_decisions.rollouts.schedule import (
    DEADLINE_MARGIN_SECONDS,
    LAST_STEP_SECONDS,
    RISE_SECONDS,
    RISEN_SHARES,
    find_trial_share,
)

from .builders import (
    ALLOWANCE,
    MAX_EXPOSURE,
    NEW,
    OLD,
    SECONDS,
    SLACK,
    make_progress,
    make_rollout,
    make_status,
)

# When the rise begins.
RISE_AT = SECONDS - DEADLINE_MARGIN_SECONDS - RISE_SECONDS


def decide(status: RolloutStatus, **changes: Any) -> RolloutStatus | None:
    progress = make_progress(**changes)
    return schedule.decide(SECONDS, status, progress, ALLOWANCE)


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
        status, elapsed = make_status(share=0.02), 0.5 * SECONDS
        self.assertIsNone(decide(status, elapsed=elapsed, answers=3))
        decided = decide(status, elapsed=elapsed, answers=3, since_step=0.11 * SECONDS)
        assert decided is not None
        self.assertGreater(decided.share, 0.02)

    def test_a_suspicion_holds_a_share_back(self) -> None:
        for verdict in (Verdict.SUSPECT, Verdict.DOUBTFUL):
            status = make_status(share=0.02)
            self.assertIsNone(
                decide(status, elapsed=0.5 * SECONDS, verdict=verdict, since_step=2.0)
            )
            self.assertIsNone(
                decide(make_status(), elapsed=RISE_AT, verdict=verdict, since_step=2.0)
            )

    def test_the_rise_comes_at_the_end_and_in_steps(self) -> None:
        """Guards against a version that gets everything long before its deadline."""
        status = make_status()
        self.assertIsNone(decide(status, elapsed=RISE_AT - 0.1))
        shares = []
        while status.share < 1:
            decided = decide(status, elapsed=RISE_AT)
            assert decided is not None
            shares.append(decided.share)
            status = decided
        self.assertEqual(shares, [*RISEN_SHARES, 1.0])

    def test_a_doubtful_version_gets_everything_at_the_last_moment(self) -> None:
        """Guards against a good version that is not complete in time."""
        elapsed = SECONDS - DEADLINE_MARGIN_SECONDS - LAST_STEP_SECONDS
        decided = decide(make_status(), elapsed=elapsed, verdict=Verdict.DOUBTFUL)
        assert decided is not None
        self.assertEqual(decided.share, 1.0)

    def test_a_trial_spends_less_than_half_of_the_allowance(self) -> None:
        """Guards against a version that turns bad with nothing left to find it."""
        for per_second, seconds in ((3.0, 5.0), (115.0, 15.0), (3000.0, 3600.0)):
            with self.subTest(per_second=per_second, seconds=seconds):
                share = find_trial_share(seconds, 0.7 * seconds, per_second, ALLOWANCE)
                spent = share * per_second * 0.7 * seconds
                allowed = MAX_EXPOSURE * per_second * seconds + SLACK
                self.assertLess(spent, 0.5 * allowed)
                self.assertGreater(share, 0.02)

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
