"""Overload of a plain service, replayed over several numbers of gateways."""

from __future__ import annotations

import unittest

from .builders import Replay

# Gateways, and targets for them: 40 requests a second for each two.
FLEETS = ((1, 2), (4, 2))
MANY_GATEWAYS = ((31, 6), (68, 12))
SECONDS = 14.0
QUIET, LOUD = "quiet", "loud"
QUIET_PER_SECOND = 4.0
# Shares of the quiet workspace's requests, and of what is carried, to be in time.
MIN_QUIET, MIN_CARRIED = 0.9, 0.75


class ReplayCase(unittest.TestCase):
    def check(
        self,
        times: float,
        at_one: str = "",
        fleets: tuple[tuple[int, int], ...] = FLEETS,
    ) -> None:
        """Play a loud workspace that asks for ``times`` what the targets carry."""
        for gateways, targets in fleets:
            with self.subTest(gateways=gateways, targets=targets):
                replay = Replay(gateways, targets)
                rates = {QUIET: QUIET_PER_SECOND, LOUD: 20.0 * targets * times}
                replay.run(SECONDS, rates, at_one=at_one)
                quiet = replay.counts[QUIET].share_in_time
                self.assertGreaterEqual(quiet, MIN_QUIET)
                in_time = replay.in_time / replay.carried
                self.assertGreaterEqual(in_time, MIN_CARRIED)


class OverloadTests(ReplayCase):
    def test_a_workspace_asks_for_as_much_as_is_carried(self) -> None:
        self.check(1.0)

    def test_a_workspace_asks_for_twice_what_is_carried(self) -> None:
        self.check(2.0)

    def test_a_workspace_asks_for_three_times_what_is_carried(self) -> None:
        """Guards against targets that work all the time and answer nobody in time."""
        self.check(3.0)

    def test_a_workspace_asks_for_five_times_what_is_carried(self) -> None:
        self.check(5.0)

    def test_all_of_a_loud_workspace_comes_to_one_gateway(self) -> None:
        """Guards against a gateway that takes all places from the others' callers."""
        self.check(3.0, LOUD)

    def test_first_answers_mislead_a_gateway_with_few_callers(self) -> None:
        """Guards against a gateway that refuses all, so that no answer corrects it."""
        for seed in range(1, 6):
            for gateways in (4, 8):
                with self.subTest(seed=seed, gateways=gateways):
                    replay = Replay(gateways, seed=seed)
                    rates = {QUIET: QUIET_PER_SECOND, LOUD: 120.0}
                    replay.run(SECONDS, rates, at_one=LOUD)
                    counts = replay.counts[QUIET]
                    self.assertEqual(counts.refused, 0)
                    self.assertGreaterEqual(counts.share_in_time, MIN_QUIET)


class ManyGatewaysTests(ReplayCase):
    def test_many_gateways_share_what_is_carried_under_overload(self) -> None:
        """Guards against gateways that send by loads that are a quarter second old."""
        self.check(3.0, fleets=MANY_GATEWAYS)

    def test_many_gateways_spread_what_is_carried(self) -> None:
        """Guards against gateways that all choose the targets that looked idle."""
        for gateways, targets in MANY_GATEWAYS:
            with self.subTest(gateways=gateways):
                replay = Replay(gateways, targets)
                load = 0.8 * replay.target_count
                replay.run(SECONDS, {QUIET: QUIET_PER_SECOND, LOUD: 20.0 * load})
                counts = replay.counts.values()
                asked = sum(count.asked for count in counts)
                self.assertGreaterEqual(replay.in_time / asked, MIN_QUIET)
                self.assertGreaterEqual(replay.counts[QUIET].share_in_time, MIN_QUIET)

    def test_some_gateways_share_few_targets(self) -> None:
        """Guards against a pace that fits one number of gateways for a target only."""
        self.check(3.0, fleets=((8, 2), (12, 4), (29, 4)))

    def test_many_gateways_share_what_is_carried_at_less_load(self) -> None:
        """Guards against turns that nobody uses, as only some callers wait."""
        self.check(2.0, fleets=((20, 4), (31, 6)))
