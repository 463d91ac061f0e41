"""Which software versions a request may go to, by what a gateway knows."""

from __future__ import annotations

import random
import unittest

from bamboopier_decisions.rollouts.order import RolloutState
from bamboopier_decisions.rollouts.traffic import MAX_AGE_SECONDS, RolloutTraffic

from .builders import NEW, OLD, SERVICE, make_rollout, make_status

BOTH = {OLD, NEW}


class TrafficTests(unittest.TestCase):
    def setUp(self) -> None:
        self.known_until = 100.0
        self.now = 100.0
        self.random = random.Random(1)
        self.traffic = RolloutTraffic(lambda: self.known_until)

    def count_exposed(self, count: int = 2000, **options: bool) -> int:
        """Return how many of ``count`` requests may not go to the old version."""
        choices = [
            self.traffic.choose(self.now, SERVICE, BOTH, self.random, **options)
            for _ in range(count)
        ]
        return sum(OLD in choice.excluded for choice in choices)

    def choose(self, versions: set[str] = BOTH) -> frozenset[str]:
        return self.traffic.choose(self.now, SERVICE, versions, self.random).excluded

    def test_without_an_order_all_versions_serve(self) -> None:
        self.traffic.update_versions(90.0, {SERVICE: BOTH})
        self.assertEqual(self.choose(), frozenset())

    def test_a_service_without_roll_out_or_new_version_is_not_concerned(self) -> None:
        self.assertFalse(self.traffic.concerns(SERVICE))
        self.traffic.update_versions(90.0, {SERVICE: {OLD}})
        self.assertFalse(self.traffic.concerns(SERVICE))
        self.traffic.update_versions(101.0, {SERVICE: BOTH})
        self.assertTrue(self.traffic.concerns(SERVICE))
        self.known_until = 102.0
        self.assertFalse(self.traffic.concerns(SERVICE))
        self.traffic.set_rollout(SERVICE, make_rollout())
        self.assertTrue(self.traffic.concerns(SERVICE))

    def test_a_version_whose_order_may_be_on_its_way_waits(self) -> None:
        """Guards against a bad version that serves before its order is known."""
        self.traffic.update_versions(90.0, {SERVICE: {OLD}})
        self.traffic.update_versions(99.0, {SERVICE: BOTH})
        self.known_until = 98.5
        self.assertEqual(self.choose(), {NEW})
        self.known_until = 99.1
        self.assertEqual(self.choose(), frozenset())

    def test_a_new_version_serves_if_it_is_the_only_one_left(self) -> None:
        self.traffic.update_versions(90.0, {SERVICE: {OLD}})
        self.traffic.update_versions(99.0, {SERVICE: BOTH})
        self.known_until = 98.5
        self.assertEqual(self.choose({NEW}), frozenset())

    def test_an_order_without_status_gets_nothing(self) -> None:
        self.traffic.set_rollout(SERVICE, make_rollout())
        self.assertEqual(self.count_exposed(), 0)

    def test_a_version_on_trial_gets_its_share(self) -> None:
        self.traffic.set_rollout(SERVICE, make_rollout(make_status(share=0.06)))
        self.assertAlmostEqual(self.count_exposed() / 2000, 0.06, delta=0.02)

    def test_a_retry_avoids_the_version_on_trial(self) -> None:
        self.traffic.set_rollout(SERVICE, make_rollout(make_status(share=0.9)))
        self.assertEqual(self.count_exposed(is_retry=True), 0)

    def test_a_gateway_that_is_cut_off_sends_nothing_to_a_version_on_trial(
        self,
    ) -> None:
        """Guards against a share that was taken back while a gateway was cut off."""
        self.traffic.set_rollout(SERVICE, make_rollout(make_status(share=0.4)))
        self.now = self.known_until + MAX_AGE_SECONDS + 0.1
        self.assertEqual(self.count_exposed(), 0)

    def test_with_the_whole_share_no_new_request_goes_elsewhere(self) -> None:
        self.traffic.set_rollout(SERVICE, make_rollout(make_status(share=1.0)))
        self.assertEqual(self.count_exposed(), 2000)

    def test_a_version_taken_back_is_closed_even_if_it_is_the_last(self) -> None:
        status = make_status(RolloutState.ROLLED_BACK)
        self.traffic.set_rollout(SERVICE, make_rollout(status))
        self.assertEqual(self.choose({NEW}), {NEW})

    def test_after_completion_the_former_versions_are_closed(self) -> None:
        """Guards against a gateway that returns to targets which stop at once."""
        status = make_status(RolloutState.COMPLETED)
        self.traffic.set_rollout(SERVICE, make_rollout(status))
        self.assertEqual(self.choose(), {OLD})

    def test_after_completion_a_later_version_serves(self) -> None:
        status = make_status(RolloutState.COMPLETED)
        self.traffic.set_rollout(SERVICE, make_rollout(status))
        self.assertEqual(self.choose({NEW, "v3"}), {OLD})

    def test_an_order_that_is_replaced_closes_its_version(self) -> None:
        self.traffic.set_rollout(SERVICE, make_rollout(make_status(), 2, "v3"))
        self.assertEqual(self.choose({OLD, NEW, "v3"}), {NEW, "v3"})

    def test_a_withdrawn_version_stays_closed_until_its_targets_are_gone(self) -> None:
        self.traffic.update_versions(90.0, {SERVICE: BOTH})
        self.traffic.set_rollout(SERVICE, make_rollout(make_status()))
        self.traffic.remove(SERVICE)
        self.assertEqual(self.choose(), {NEW})
        self.traffic.update_versions(95.0, {SERVICE: {OLD}})
        self.traffic.update_versions(96.0, {SERVICE: BOTH})
        self.assertEqual(self.choose(), frozenset())

    def test_a_request_drawn_for_the_trial_may_fall_back(self) -> None:
        self.traffic.set_rollout(SERVICE, make_rollout(make_status(share=0.999)))
        choice = self.traffic.choose(self.now, SERVICE, BOTH, self.random)
        self.assertTrue(choice.may_fall_back)
        self.assertEqual(choice.closed, frozenset())
