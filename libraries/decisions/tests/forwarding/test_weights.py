"""Tests of which weight versions may serve, and in which order engines load them."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

from bamboopier_decisions.forwarding.demand import Demand, WeightVersionRange
from bamboopier_decisions.forwarding.placement import choose_target
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

# The publish time of a version is unknown.
UNKNOWN = float("-inf")


class VersionTests(unittest.TestCase):
    def test_older_weights_serve_until_shortly_before_the_grace_period_ends(
        self,
    ) -> None:
        weights = WeightVersions(12.0)
        weights.record_published("m", 1, UNKNOWN)
        weights.record_published("m", 2, 100.0)
        self.assertEqual(weights.find_newest("m"), 2)
        self.assertEqual(weights.find_oldest_allowed(100.1, "m"), 1)
        self.assertEqual(
            weights.find_oldest_allowed(112.0 - SEND_MARGIN_SECONDS, "m"), 2
        )

    def test_each_version_has_its_own_grace_period(self) -> None:
        # Two versions are published four seconds apart. When the grace period of the
        # first has ended, engines that have it may still serve, those that have neither
        # may not.
        weights = WeightVersions(12.0)
        weights.record_published("m", 2, 100.0)
        weights.record_published("m", 3, 104.0)
        self.assertEqual(weights.find_oldest_allowed(112.0, "m"), 2)
        self.assertEqual(weights.find_oldest_allowed(116.0, "m"), 3)

    def test_a_guess_does_not_replace_a_known_publish_time(self) -> None:
        # Guards against a guess that is later than a known time. Weights are published
        # while one gateway is cut off from the store and another is suspended. The
        # first assumes that they were published at its recovery, and records that; the
        # second knows that they may be five seconds old. With the guess it would send
        # requests for older weights after their grace period.
        weights = WeightVersions(12.0)
        weights.record_published("m", 2, 100.0)
        weights.record_publish_time("m", 2, 104.0, guessed=True)
        self.assertEqual(weights.find_published_at("m"), 100.0)
        # A process that starts has nothing better than the guess.
        fresh = WeightVersions(12.0)
        fresh.record_publish_time("m", 2, 104.0, guessed=True)
        fresh.record_published("m", 2, UNKNOWN)
        self.assertEqual(fresh.find_published_at("m"), 104.0)

    def test_expired_versions_are_removed(self) -> None:
        # Guards against a list that grows for ever: weights are published all day long
        # for years, every request searches the known versions, and would take longer
        # each day.
        weights = WeightVersions(12.0)
        for number in range(1, 1001):
            weights.record_published("m", number, number * 60.0)
            weights.record_publish_time("m", number, number * 60.0)
            weights.find_oldest_allowed(number * 60.0 + 30.0, "m")
        self.assertLessEqual(weights.count_versions("m"), 3)
        self.assertEqual(weights.find_oldest_allowed(60_030.0, "m"), 1000)
        # The one before is kept, should the newest turn out to be published later.
        self.assertEqual(weights.find_oldest_allowed(60_000.0, "m"), 999)

    def test_a_process_start_does_not_restart_the_grace_period(self) -> None:
        # Guards against a grace period that restarts with the process. All gateways
        # lose power ten seconds after new weights were published. A gateway that starts
        # finds the version, and reads its publish time from the store.
        weights = WeightVersions(12.0)
        weights.record_publish_time("m", 3, 90.0)
        weights.record_published("m", 3, UNKNOWN)
        self.assertEqual(weights.find_oldest_allowed(100.0, "m"), 3)
        fresh = WeightVersions(12.0)
        fresh.record_publish_time("m", 3, 98.0)
        fresh.record_published("m", 3, UNKNOWN)
        self.assertEqual(fresh.find_oldest_allowed(100.0, "m"), 0)

    def test_versions_published_in_between_survive_a_process_start(self) -> None:
        # Versions 2 and 3 are published four seconds apart, then all gateways lose
        # power. The store shows version 3 alone, but the grace period of version 2 ends
        # first: targets with neither may not serve until that of version 3 ends.
        weights = WeightVersions(12.0)
        weights.record_publish_time("m", 3, 104.0)
        weights.record_publish_time("m", 2, 100.0)
        weights.record_publish_time("other", 2, 0.0)
        weights.record_published("m", 3, UNKNOWN)
        self.assertEqual(weights.find_oldest_allowed(106.0, "m"), 0)
        self.assertEqual(weights.find_oldest_allowed(112.0, "m"), 2)
        self.assertEqual(weights.find_oldest_allowed(116.0, "m"), 3)

    def test_a_version_without_a_publish_time_counts_as_old(self) -> None:
        weights = WeightVersions(12.0)
        weights.record_published("m", 3, UNKNOWN)
        self.assertEqual(weights.find_oldest_allowed(100.0, "m"), 3)

    def test_the_publish_time_of_the_newest_version_is_returned(self) -> None:
        weights = WeightVersions(12.0)
        self.assertEqual(weights.find_published_at("m"), float("-inf"))
        weights.record_published("m", 2, 100.0)
        weights.record_published("m", 3, 104.0)
        self.assertEqual(weights.find_published_at("m"), 104.0)

    def test_a_version_received_late_does_not_extend_older_ones(self) -> None:
        # A gateway is paused for 3.3 s from 100.0 on, and receives version 2
        # afterwards. The version may have been published at the start of the pause: an
        # older one that served 9.4 s from when the gateway received it would start work
        # 12.7 s after the publication.
        weights = WeightVersions(12.0)
        weights.record_published("m", 1, UNKNOWN)
        weights.record_published("m", 2, 100.0)
        self.assertEqual(weights.find_oldest_allowed(103.3, "m"), 1)
        self.assertEqual(weights.find_oldest_allowed(109.5, "m"), 2)

    def test_recorded_publish_times_replace_earlier_bounds(self) -> None:
        # The store rejects a gateway from 80.0 to 100.0. Alone it would refuse every
        # engine that has not loaded yet; other gateways recorded when they received the
        # version.
        weights = WeightVersions(12.0)
        weights.record_published("m", 2, 80.0)
        self.assertEqual(weights.find_oldest_allowed(100.0, "m"), 2)
        weights.record_publish_time("m", 2, 95.0)
        self.assertEqual(weights.find_oldest_allowed(100.0, "m"), 0)
        self.assertEqual(weights.find_oldest_allowed(104.5, "m"), 2)

    def test_a_less_precise_time_changes_nothing(self) -> None:
        weights = WeightVersions(12.0)
        weights.record_published("m", 2, 100.0)
        weights.record_publish_time("m", 2, 97.0)
        self.assertEqual(weights.find_published_at("m"), 100.0)

    def test_an_older_version_is_not_published_again(self) -> None:
        weights = WeightVersions(12.0)
        self.assertTrue(weights.record_published("m", 3, 0.0))
        self.assertFalse(weights.record_published("m", 2, 1.0))


class OrderTests(unittest.TestCase):
    def test_a_third_loads_at_once(self) -> None:
        counts = {1: 1, 2: 1, 3: 1, 6: 2, 8: 2, 9: 3, 20: 6, 21: 7}
        self.assertEqual({n: count_concurrent_loads(n) for n in counts}, counts)

    def test_the_oldest_load_first_and_the_order_is_deterministic(self) -> None:
        versions = {f"i-{n}": 1 + n % 2 for n in range(8)}
        order = list_pending(versions, 3)
        self.assertEqual([versions[name] for name in order], [1] * 4 + [2] * 4)
        shuffled = dict(sorted(versions.items(), reverse=True))
        self.assertEqual(list_pending(shuffled, 3), order)

    def test_targets_with_the_version_are_not_loading_soon(self) -> None:
        versions = {f"i-{n}": 3 if n < 4 else 1 for n in range(9)}
        near = list_loading_soon(versions, 3)
        self.assertTrue(near)
        self.assertTrue(all(versions[name] == 1 for name in near))

    def test_waves_continue_without_orders_to_some_targets(self) -> None:
        # Nine engines load three at a time. Nothing happens at the first three, whose
        # agents are dead; the waves of the others start all the same.
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

    def test_requests_sent_before_the_hint_arrived_are_waited_for(self) -> None:
        # The target looks idle when its drain starts, and a long request is in flight
        # to it.
        self.drain.record_running(10.0, frozenset())
        self.assertFalse(self.drain.is_complete)
        self.drain.record_running(10.0 + PROPAGATION_SECONDS, frozenset({"late"}))
        self.assertFalse(self.drain.is_complete)

    def test_an_endless_stream_delays_the_order_only_for_a_while(
        self,
    ) -> None:
        self.drain.record_running(11.0, frozenset({"long"}))
        self.drain.record_running(10.0 + MAX_DRAIN_SECONDS, frozenset({"long"}))
        self.assertTrue(self.drain.is_complete)

    def test_a_drained_target_gets_short_responses_only(self) -> None:
        # Two engines; one is about to load. Requests with long responses are sent to
        # the other even when it is busier; those with short ones use both. Where no
        # other is left, the drained one serves everything rather than nothing.
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
        """Return the targets chosen for prompts of ten sessions."""
        weights = WeightVersionRange(1, 1)
        generator = random.Random(1)
        names = set()
        for number in range(10):
            prompt = make_prompt(f"s{number}", max_output=max_output)
            demand = Demand(DESK, 1, prompt, 0.4)
            found = choose_target(
                10.0, fleet, demand, set(), weights, "z1", generator
            ).state
            assert found is not None
            names.add(found.entry.name)
        return names


if __name__ == "__main__":
    unittest.main()
