"""Roll-outs of good and bad versions, replayed over several numbers of gateways."""

from __future__ import annotations

import unittest
from typing import Any

from bamboopier_decisions.rollouts.order import RolloutState

from .builders import NEW, SECONDS, Behaviour, Replay, Request

GATEWAYS = (1, 4, 31, 68)
SEEDS = (0, 1, 4)


def is_new(request: Request) -> bool:
    return request.version == NEW


class BadVersionTests(unittest.TestCase):
    """A bad version is taken back before many callers meet it."""

    def check(self, behaviour: Behaviour) -> None:
        for gateways in GATEWAYS:
            for seed in SEEDS:
                with self.subTest(gateways=gateways, seed=seed):
                    replay = Replay(behaviour, gateways, seed)
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

    def test_all_gateways_restart_in_the_middle(self) -> None:
        self.check(Behaviour(), restarts_at=SECONDS / 2)
