"""Which weight versions may serve, and in which order engines load new ones."""

from __future__ import annotations

import unittest

from bamboopier_decisions.forwarding.roll_order import (
    count_loads,
    list_near,
    list_order,
)
from bamboopier_decisions.forwarding.weight_versions import (
    END_SECONDS,
    WeightVersions,
)


class VersionTests(unittest.TestCase):
    def test_older_weights_serve_until_shortly_before_the_limit(self) -> None:
        weights = WeightVersions(12.0)
        weights.name(0.0, "m", 1, was_there=True)
        weights.name(100.0, "m", 2)
        self.assertEqual(weights.find_newest("m"), 2)
        self.assertEqual(weights.find_oldest_allowed(100.1, "m"), 1)
        self.assertEqual(weights.find_oldest_allowed(112.0 - END_SECONDS, "m"), 2)

    def test_each_version_has_its_own_time(self) -> None:
        # Two versions are named four seconds apart. When the time of the first is over,
        # engines that have it may still serve, those that have neither may not.
        weights = WeightVersions(12.0)
        weights.name(100.0, "m", 2)
        weights.name(104.0, "m", 3)
        self.assertEqual(weights.find_oldest_allowed(112.0, "m"), 2)
        self.assertEqual(weights.find_oldest_allowed(116.0, "m"), 3)

    def test_a_process_that_starts_does_not_begin_the_time_anew(self) -> None:
        # All gateways lose power ten seconds after new weights were named. One that
        # starts finds the version, and knows from the store since when it is named.
        weights = WeightVersions(12.0)
        weights.learn_age("m", 3, 90.0)
        weights.name(100.0, "m", 3, was_there=True)
        self.assertEqual(weights.find_oldest_allowed(100.0, "m"), 3)
        fresh = WeightVersions(12.0)
        fresh.learn_age("m", 3, 98.0)
        fresh.name(100.0, "m", 3, was_there=True)
        self.assertEqual(fresh.find_oldest_allowed(100.0, "m"), 0)

    def test_a_start_does_not_forget_versions_named_in_between(self) -> None:
        # Versions 2 and 3 are named four seconds apart, then all gateways lose power.
        # The store shows version 3 alone, but the time of version 2 ends first: what
        # has neither may not serve until version 3's time is over.
        weights = WeightVersions(12.0)
        weights.learn_age("m", 3, 104.0)
        weights.learn_age("m", 2, 100.0)
        weights.learn_age("other", 2, 0.0)
        weights.name(106.0, "m", 3, was_there=True)
        self.assertEqual(weights.find_oldest_allowed(106.0, "m"), 0)
        self.assertEqual(weights.find_oldest_allowed(112.0, "m"), 2)
        self.assertEqual(weights.find_oldest_allowed(116.0, "m"), 3)

    def test_a_version_of_unknown_age_is_taken_for_old(self) -> None:
        weights = WeightVersions(12.0)
        weights.name(100.0, "m", 3, was_there=True)
        self.assertEqual(weights.find_oldest_allowed(100.0, "m"), 3)

    def test_an_older_version_is_not_named_again(self) -> None:
        weights = WeightVersions(12.0)
        self.assertTrue(weights.name(0.0, "m", 3))
        self.assertFalse(weights.name(1.0, "m", 2))


class OrderTests(unittest.TestCase):
    def test_a_third_loads_at_once(self) -> None:
        counts = {1: 1, 2: 1, 3: 1, 6: 2, 8: 2, 9: 3, 20: 6, 21: 7}
        self.assertEqual({n: count_loads(n) for n in counts}, counts)

    def test_the_oldest_go_first_and_everybody_agrees(self) -> None:
        versions = {f"i-{n}": 1 + n % 2 for n in range(8)}
        order = list_order(versions, 3)
        self.assertEqual([versions[name] for name in order], [1] * 4 + [2] * 4)
        shuffled = dict(sorted(versions.items(), reverse=True))
        self.assertEqual(list_order(shuffled, 3), order)

    def test_those_that_have_it_are_not_near(self) -> None:
        versions = {f"i-{n}": 3 if n < 4 else 1 for n in range(9)}
        near = list_near(versions, 3)
        self.assertTrue(near)
        self.assertTrue(all(versions[name] == 1 for name in near))


if __name__ == "__main__":
    unittest.main()
