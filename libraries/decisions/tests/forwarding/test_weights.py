"""Which weight versions may serve, and in which order engines load new ones."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

from bamboopier_decisions.forwarding.placement import (
    Demand,
    WeightVersionRange,
    choose_target,
)
from bamboopier_decisions.forwarding.rollout_order import (
    WAVE_SECONDS,
    count_concurrent_loads,
    find_wave_delay,
    list_loading_soon,
    list_pending,
)
from bamboopier_decisions.forwarding.weight_load_drain import (
    MAX_DRAIN_SECONDS,
    PROPAGATION_SECONDS,
    WeightLoadDrain,
)
from bamboopier_decisions.forwarding.weight_versions import (
    SEND_MARGIN_SECONDS,
    WeightVersions,
)

from .builders import DESK, make_entry, make_fleet, make_prompt

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.fleet import Fleet

# Nothing is known of when a version was named.
UNKNOWN = float("-inf")


class VersionTests(unittest.TestCase):
    def test_older_weights_serve_until_shortly_before_the_limit(self) -> None:
        weights = WeightVersions(12.0)
        weights.record_published("m", 1, UNKNOWN)
        weights.record_published("m", 2, 100.0)
        self.assertEqual(weights.find_newest("m"), 2)
        self.assertEqual(weights.find_oldest_allowed(100.1, "m"), 1)
        self.assertEqual(
            weights.find_oldest_allowed(112.0 - SEND_MARGIN_SECONDS, "m"), 2
        )

    def test_each_version_has_its_own_time(self) -> None:
        # Two versions are named four seconds apart. When the time of the first is over,
        # engines that have it may still serve, those that have neither may not.
        weights = WeightVersions(12.0)
        weights.record_published("m", 2, 100.0)
        weights.record_published("m", 3, 104.0)
        self.assertEqual(weights.find_oldest_allowed(112.0, "m"), 2)
        self.assertEqual(weights.find_oldest_allowed(116.0, "m"), 3)

    def test_a_guess_of_another_makes_no_version_younger_than_is_known(self) -> None:
        # Weights were named while one gateway was cut off from the store and another
        # was suspended. The first takes them for named at its return, and writes that;
        # the second knows that they may be five seconds old. By the other's guess it
        # would send on older weights until after their time.
        weights = WeightVersions(12.0)
        weights.record_published("m", 2, 100.0)
        weights.record_publish_time("m", 2, 104.0, guessed=True)
        self.assertEqual(weights.find_published_at("m"), 100.0)
        # One that starts knows nothing better.
        fresh = WeightVersions(12.0)
        fresh.record_publish_time("m", 2, 104.0, guessed=True)
        fresh.record_published("m", 2, UNKNOWN)
        self.assertEqual(fresh.find_published_at("m"), 104.0)

    def test_versions_that_may_serve_no_more_are_forgotten(self) -> None:
        # Weights are named all day long for years, and every request looks through the
        # versions known: it would wait longer each day.
        weights = WeightVersions(12.0)
        for number in range(1, 1001):
            weights.record_published("m", number, number * 60.0)
            weights.record_publish_time("m", number, number * 60.0)
            weights.find_oldest_allowed(number * 60.0 + 30.0, "m")
        self.assertLessEqual(weights.count_versions("m"), 3)
        self.assertEqual(weights.find_oldest_allowed(60_030.0, "m"), 1000)
        # The one before stays, should the newest turn out to be named later.
        self.assertEqual(weights.find_oldest_allowed(60_000.0, "m"), 999)

    def test_a_process_that_starts_does_not_begin_the_time_anew(self) -> None:
        # All gateways lose power ten seconds after new weights were named. One that
        # starts finds the version, and knows from the store since when it is named.
        weights = WeightVersions(12.0)
        weights.record_publish_time("m", 3, 90.0)
        weights.record_published("m", 3, UNKNOWN)
        self.assertEqual(weights.find_oldest_allowed(100.0, "m"), 3)
        fresh = WeightVersions(12.0)
        fresh.record_publish_time("m", 3, 98.0)
        fresh.record_published("m", 3, UNKNOWN)
        self.assertEqual(fresh.find_oldest_allowed(100.0, "m"), 0)

    def test_a_start_does_not_forget_versions_named_in_between(self) -> None:
        # Versions 2 and 3 are named four seconds apart, then all gateways lose power.
        # The store shows version 3 alone, but the time of version 2 ends first: what
        # has neither may not serve until version 3's time is over.
        weights = WeightVersions(12.0)
        weights.record_publish_time("m", 3, 104.0)
        weights.record_publish_time("m", 2, 100.0)
        weights.record_publish_time("other", 2, 0.0)
        weights.record_published("m", 3, UNKNOWN)
        self.assertEqual(weights.find_oldest_allowed(106.0, "m"), 0)
        self.assertEqual(weights.find_oldest_allowed(112.0, "m"), 2)
        self.assertEqual(weights.find_oldest_allowed(116.0, "m"), 3)

    def test_a_version_of_unknown_age_is_taken_for_old(self) -> None:
        weights = WeightVersions(12.0)
        weights.record_published("m", 3, UNKNOWN)
        self.assertEqual(weights.find_oldest_allowed(100.0, "m"), 3)

    def test_the_age_of_the_newest_version_is_told(self) -> None:
        weights = WeightVersions(12.0)
        self.assertEqual(weights.find_published_at("m"), float("-inf"))
        weights.record_published("m", 2, 100.0)
        weights.record_published("m", 3, 104.0)
        self.assertEqual(weights.find_published_at("m"), 104.0)

    def test_a_version_heard_of_late_gives_older_ones_no_more_time(self) -> None:
        # A gateway stood still for 3.3 s from 100.0 on, and hears of version 2 then. It
        # may have been named right at the start: an older one served 9.4 s from when
        # the gateway heard would begin work 12.7 s after that.
        weights = WeightVersions(12.0)
        weights.record_published("m", 1, UNKNOWN)
        weights.record_published("m", 2, 100.0)
        self.assertEqual(weights.find_oldest_allowed(103.3, "m"), 1)
        self.assertEqual(weights.find_oldest_allowed(109.5, "m"), 2)

    def test_who_heard_in_time_spares_older_versions_for_who_did_not(self) -> None:
        # The store turned a gateway away from 80.0 to 100.0. Alone it would refuse
        # every engine that has not loaded yet; others wrote when they heard.
        weights = WeightVersions(12.0)
        weights.record_published("m", 2, 80.0)
        self.assertEqual(weights.find_oldest_allowed(100.0, "m"), 2)
        weights.record_publish_time("m", 2, 95.0)
        self.assertEqual(weights.find_oldest_allowed(100.0, "m"), 0)
        self.assertEqual(weights.find_oldest_allowed(104.5, "m"), 2)

    def test_a_vaguer_time_changes_nothing(self) -> None:
        weights = WeightVersions(12.0)
        weights.record_published("m", 2, 100.0)
        weights.record_publish_time("m", 2, 97.0)
        self.assertEqual(weights.find_published_at("m"), 100.0)

    def test_an_older_version_is_not_named_again(self) -> None:
        weights = WeightVersions(12.0)
        self.assertTrue(weights.record_published("m", 3, 0.0))
        self.assertFalse(weights.record_published("m", 2, 1.0))


class OrderTests(unittest.TestCase):
    def test_a_third_loads_at_once(self) -> None:
        counts = {1: 1, 2: 1, 3: 1, 6: 2, 8: 2, 9: 3, 20: 6, 21: 7}
        self.assertEqual({n: count_concurrent_loads(n) for n in counts}, counts)

    def test_the_oldest_go_first_and_everybody_agrees(self) -> None:
        versions = {f"i-{n}": 1 + n % 2 for n in range(8)}
        order = list_pending(versions, 3)
        self.assertEqual([versions[name] for name in order], [1] * 4 + [2] * 4)
        shuffled = dict(sorted(versions.items(), reverse=True))
        self.assertEqual(list_pending(shuffled, 3), order)

    def test_those_that_have_it_are_not_near(self) -> None:
        versions = {f"i-{n}": 3 if n < 4 else 1 for n in range(9)}
        near = list_loading_soon(versions, 3)
        self.assertTrue(near)
        self.assertTrue(all(versions[name] == 1 for name in near))

    def test_turns_follow_each_other_though_nobody_orders_some(self) -> None:
        # Nine engines load three at a time. Nothing happens at the first three, whose
        # agents are dead; the others' turns come all the same.
        versions = {f"i-{n}": 1 for n in range(9)}
        order = list_pending(versions, 2)
        delays = [find_wave_delay(versions, 2, name) / WAVE_SECONDS for name in order]
        self.assertEqual(delays, [0, 0, 0, 1, 1, 1, 2, 2, 2])
        self.assertEqual(find_wave_delay(versions, 2, "unknown"), 0.0)


class DrainTests(unittest.TestCase):
    def setUp(self) -> None:
        self.drain = WeightLoadDrain(10.0)

    def test_the_order_waits_until_the_long_streams_end(self) -> None:
        self.drain.record_running(
            10.0 + PROPAGATION_SECONDS, frozenset({"long", "short"})
        )
        self.drain.record_running(10.5, frozenset({"long", "new"}))
        self.assertFalse(self.drain.is_complete)
        self.drain.record_running(11.0, frozenset({"new", "newer"}))
        self.assertTrue(self.drain.is_complete)

    def test_what_gateways_sent_before_they_heard_is_waited_for(self) -> None:
        # The target looks idle when its drain begins, and a long request is on its way.
        self.drain.record_running(10.0, frozenset())
        self.assertFalse(self.drain.is_complete)
        self.drain.record_running(10.0 + PROPAGATION_SECONDS, frozenset({"late"}))
        self.assertFalse(self.drain.is_complete)

    def test_a_stream_that_does_not_end_holds_the_order_up_for_a_while_only(
        self,
    ) -> None:
        self.drain.record_running(11.0, frozenset({"long"}))
        self.drain.record_running(10.0 + MAX_DRAIN_SECONDS, frozenset({"long"}))
        self.assertTrue(self.drain.is_complete)

    def test_a_drained_target_gets_short_answers_only(self) -> None:
        # Two engines; one is about to load. Long answers go to the other even when
        # that is busier; short ones still use both. Where no other is left, the
        # drained one serves everything rather than nothing.
        fleet = make_fleet([make_entry("i-1"), make_entry("i-2")])
        drained, other = fleet.find("i-1"), fleet.find("i-2")
        assert drained is not None
        assert other is not None
        drained.short_answers_until = 20.0
        self.assertEqual(self._place_ten(fleet, max_output=1120), {"i-2"})
        self.assertEqual(self._place_ten(fleet, max_output=20), {"i-1", "i-2"})
        other.busy_until = 20.0
        self.assertEqual(self._place_ten(fleet, max_output=1120), {"i-1"})

    def _place_ten(self, fleet: Fleet, max_output: int) -> set[str]:
        """Return where prompts of ten sessions go."""
        weights = WeightVersionRange(1, 1)
        generator = random.Random(1)
        names = set()
        for number in range(10):
            prompt = make_prompt(f"s{number}", max_output=max_output)
            demand = Demand(DESK, 1, prompt)
            found = choose_target(
                10.0, fleet, demand, set(), weights, "z1", generator
            ).state
            assert found is not None
            names.add(found.entry.name)
        return names


if __name__ == "__main__":
    unittest.main()
