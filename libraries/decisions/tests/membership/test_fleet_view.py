"""Selection of targets for new requests while lists lag and operators drain."""

from __future__ import annotations

import random
import unittest

from bamboopier_decisions.membership.fleet_view import (
    DrainedSet,
    FleetView,
    ListedTarget,
)
from bamboopier_decisions.membership.load_slots import count_slots
from bamboopier_decisions.membership.versions import ROLLOUT_SECONDS, ModelVersions
from bamboopier_decisions.routing.messages import (
    Distance,
    FleetChanged,
    RequestArrived,
    Send,
    TargetLoad,
    TargetReported,
    TargetView,
)
from bamboopier_decisions.routing.router import Router


class FleetViewTests(unittest.TestCase):
    def select(self, view: FleetView, now: float, leaving: bool) -> bool:
        listed = [ListedTarget("desk-1", "dc-east", leaving)]
        return bool(view.select(now, listed, DrainedSet()))

    def test_a_leaving_vm_stays_excluded_while_lists_alternate(self) -> None:
        """Replicas of the VM list answer in turn: leaving, live, leaving.

        After each outdated list, requests would be admitted and cut off when the VM
        goes.
        """
        view = FleetView()
        self.assertTrue(self.select(view, 0.0, leaving=False))
        self.assertFalse(self.select(view, 1.0, leaving=True))
        self.assertFalse(self.select(view, 2.0, leaving=False))
        self.assertFalse(self.select(view, 20.0, leaving=True))
        self.assertFalse(self.select(view, 21.0, leaving=False))
        self.assertFalse(self.select(view, 50.0, leaving=False))
        self.assertTrue(self.select(view, 51.0, leaving=False))

    def test_drained_targets_are_excluded_until_restored(self) -> None:
        view = FleetView()
        listed = [
            ListedTarget("desk-1", "dc-east", False),
            ListedTarget("desk-2", "dc-west", False),
        ]
        cases = [
            (DrainedSet(), {"desk-1", "desk-2"}),
            (DrainedSet(frozenset({"dc-east"})), {"desk-2"}),
            (DrainedSet(targets=frozenset({"desk-2"})), {"desk-1"}),
            (DrainedSet(), {"desk-1", "desk-2"}),
        ]
        for drained, expected in cases:
            self.assertEqual(view.select(0.0, listed, drained), expected)


class RolloutTests(unittest.TestCase):
    def test_requests_follow_the_targets_through_a_rollout(self) -> None:
        """Ten targets load v2 two at a time; then some of them never load it."""
        versions = ModelVersions(0.0, "v1")
        versions.configure(0.0, "v2", [])
        generator = random.Random(3)

        def count_new(now: float, new: int, old: int) -> int:
            reported = ["v2"] * new + ["v1"] * old
            chosen = [
                versions.choose(now, reported, 0, 2, generator) for _ in range(1000)
            ]
            return chosen.count("v2")

        self.assertEqual(count_new(1.0, 0, 10), 0)
        self.assertEqual(count_new(1.5, 0, 2), 0)
        self.assertTrue(150 < count_new(2.0, 2, 8) < 250)
        self.assertEqual(count_new(9.0, 8, 2), 1000)
        self.assertEqual(count_new(ROLLOUT_SECONDS, 2, 8), 1000)

    def test_a_request_goes_to_a_target_of_its_version(self) -> None:
        """Half of the targets have v2; requests for it must not go to the others."""
        router = Router(random.Random(1))
        names = [f"desk-{number}" for number in range(8)]
        views = tuple(TargetView(n, "desk", Distance.SAME_REGION) for n in names)
        router.handle(FleetChanged(0.0, views))
        for number, name in enumerate(names):
            load = TargetLoad(limit=8, weight_version=f"v{1 + number % 2}")
            router.handle(TargetReported(0.0, name, load))
        for number in range(20):
            arrived = RequestArrived(
                0.1,
                f"request-{number}",
                "fosse",
                "desk",
                idempotent=True,
                deadline=60.0,
                weight_version="v2",
            )
            sent = router.handle(arrived)
            assert isinstance(sent, Send)
            self.assertIn(sent.target, names[1::2])

    def test_one_target_keeps_serving(self) -> None:
        cases = [(2, 40, 2), (2, 2, 1), (3, 3, 2), (2, 1, 1), (2, 0, 1)]
        for limit, targets, expected in cases:
            self.assertEqual(count_slots(limit, targets), expected)
