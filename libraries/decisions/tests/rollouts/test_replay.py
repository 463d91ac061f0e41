"""Roll-outs of good and bad versions, replayed over several numbers of gateways."""

from __future__ import annotations

import unittest
from typing import Any

from bamboopier_decisions.rollouts.order import RolloutState

from .builders import NEW, SECONDS, Behaviour, Replay, Request

GATEWAYS = (1, 4, 31, 68)
SEEDS = (0, 1, 4)
# Parts of the requests on the frequent and the rare route, and the part of their
# answers that fails at every version.
WEIGHTS = (0.81, 0.19)
FAILING_ALWAYS = {"orders": 0.004, "status": 0.14}


def is_new(request: Request) -> bool:
    return request.version == NEW


def fail_always(request: Request) -> float:
    """Return the probability with which an answer fails at every version."""
    return FAILING_ALWAYS[request.route]


class BadVersionTests(unittest.TestCase):
    """A bad version is taken back before many callers meet it."""

    def check(self, behaviour: Behaviour, **options: Any) -> None:
        for gateways in GATEWAYS:
            for seed in SEEDS:
                with self.subTest(gateways=gateways, seed=seed):
                    replay = Replay(behaviour, gateways, seed, **options)
                    replay.run()
                    self.assertIs(replay.state, RolloutState.ROLLED_BACK)
                    self.assertLessEqual(replay.exposed, replay.allowed)

    def test_all_answers_fail_at_once(self) -> None:
        self.check(Behaviour(failing=lambda r: float(is_new(r))))

    def test_a_third_of_the_answers_fail(self) -> None:
        self.check(Behaviour(failing=lambda r: 0.35 * is_new(r)))

    def test_answers_are_four_times_as_slow(self) -> None:
        self.check(Behaviour(slowness=lambda r: 4.0 if is_new(r) else 1.0))

    def test_answers_of_one_route_fail(self) -> None:
        self.check(
            Behaviour(failing=lambda r: 0.5 * (is_new(r) and r.route == "status"))
        )

    def test_answers_fail_after_a_third_of_the_time(self) -> None:
        self.check(
            Behaviour(failing=lambda r: 0.5 * (is_new(r) and r.at > SECONDS / 3))
        )

    def test_answers_fail_after_four_fifths_of_the_time(self) -> None:
        """Guards against an allowance that was spent before the version turned bad."""
        self.check(
            Behaviour(failing=lambda r: 0.5 * (is_new(r) and r.at > 0.8 * SECONDS))
        )

    def test_answers_fail_a_quarter_more_often(self) -> None:
        self.check(
            Behaviour(failing=lambda r: fail_always(r) + 0.25 * is_new(r)),
            weights=WEIGHTS,
        )

    def test_answers_are_twice_as_slow(self) -> None:
        self.check(Behaviour(slowness=lambda r: 2.0 if is_new(r) else 1.0))

    def test_answers_fail_under_load_only(self) -> None:
        self.check(Behaviour(failing=lambda r: 0.6 * (is_new(r) and r.share > 0.3)))

    def test_answers_fail_only_once_the_version_has_everything(self) -> None:
        self.check(Behaviour(failing=lambda r: 0.7 * (is_new(r) and r.share >= 1)))


class GoodVersionTests(unittest.TestCase):
    """A good version is complete in time, whatever else happens."""

    def check(self, behaviour: Behaviour, **options: Any) -> None:
        for gateways in GATEWAYS:
            for seed in SEEDS:
                with self.subTest(gateways=gateways, seed=seed):
                    replay = Replay(behaviour, gateways, seed, **options)
                    replay.run()
                    self.assertIs(replay.state, RolloutState.COMPLETED)
                    self.assertLess(replay.finished_at, SECONDS)

    def test_nothing_happens(self) -> None:
        self.check(Behaviour())

    def test_few_requests_come(self) -> None:
        self.check(Behaviour(), per_second=3.0)

    def test_a_fault_hits_both_versions(self) -> None:
        self.check(Behaviour(failing=lambda r: 0.3 * (3 < r.at < 8)))

    def test_both_versions_are_slow_under_a_burst(self) -> None:
        self.check(Behaviour(slowness=lambda r: 5.0 if 4 < r.at < 7 else 1.0))

    def test_one_of_its_targets_fails(self) -> None:
        self.check(Behaviour(failing=lambda r: 0.6 * (is_new(r) and r.target == 1)))

    def test_some_answers_fail_at_every_version(self) -> None:
        """Guards against a version that is blamed for errors which all have."""
        self.check(Behaviour(failing=fail_always), weights=WEIGHTS)

    def test_one_of_its_targets_is_twice_as_slow(self) -> None:
        self.check(
            Behaviour(slowness=lambda r: 2.0 if is_new(r) and r.target == 1 else 1.0)
        )

    def test_two_of_its_targets_are_twice_as_slow(self) -> None:
        """Guards against a version that is blamed for the hardware it runs on."""
        self.check(
            Behaviour(slowness=lambda r: 2.0 if is_new(r) and r.target in (1, 2) else 1)
        )

    def test_its_targets_are_a_quarter_slower(self) -> None:
        self.check(Behaviour(slowness=lambda r: 1.25 if is_new(r) else 1.0))

    def test_all_gateways_restart_in_the_middle(self) -> None:
        self.check(Behaviour(), restarts_at=SECONDS / 2)
