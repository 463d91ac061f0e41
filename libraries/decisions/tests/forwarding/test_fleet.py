"""Tests of which targets are used as entries change, expire and are removed."""

from __future__ import annotations

import unittest

from bamboopier_decisions.forwarding.fleet import STORE_RECOVERY_SECONDS

from .builders import DESK, MODEL, make_entry, make_fleet, make_prompt


class FleetTests(unittest.TestCase):
    def list_names(self, now: float) -> list[str]:
        return [s.entry.name for s in self.fleet.list_targets(DESK, now)]

    def setUp(self) -> None:
        self.fleet = make_fleet([make_entry("i-1"), make_entry("i-2")])

    def test_a_leaving_target_is_not_listed(self) -> None:
        self.fleet.put(1.0, make_entry("i-1", leaving=True))
        self.assertEqual(self.list_names(1.0), ["i-2"])

    def test_a_removal_applies_at_once_without_an_outage(self) -> None:
        self.fleet.remove(1.0, "i-1")
        self.assertEqual(self.list_names(1.0), ["i-2"])

    def test_a_missing_entry_stays_two_seconds_after_an_outage(self) -> None:
        self.fleet.replace(10.0, [make_entry("i-2")], store_recovered_at=10.0)
        self.assertEqual(self.list_names(10.1), ["i-1", "i-2"])
        self.assertEqual(self.list_names(10.0 + STORE_RECOVERY_SECONDS), ["i-2"])

    def test_a_request_tells_whether_its_target_has_an_entry(self) -> None:
        self.fleet.find_list_age = lambda: 0.7
        self.fleet.replace(10.0, [make_entry("i-2")], store_recovered_at=10.0)
        for name, missing in (("i-1", True), ("i-2", False)):
            state = self.fleet.find(name)
            assert state is not None
            sent = self.fleet.begin(10.5, state, None)
            self.assertEqual((sent.entry_missing, sent.list_age), (missing, 0.7))

    def test_a_late_removal_counts_from_the_recovery(self) -> None:
        self.fleet.remove(11.5, "i-1", store_recovered_at=10.0)
        self.assertEqual(self.list_names(11.6), ["i-1", "i-2"])
        self.assertEqual(self.list_names(10.0 + STORE_RECOVERY_SECONDS), ["i-2"])
        self.fleet.remove(10.0 + STORE_RECOVERY_SECONDS, "i-2", store_recovered_at=10.0)
        self.assertEqual(self.list_names(10.0 + STORE_RECOVERY_SECONDS), [])

    def test_an_entry_that_is_listed_again_in_time_stays(self) -> None:
        self.fleet.replace(10.0, [make_entry("i-2")], store_recovered_at=10.0)
        self.fleet.put(11.0, make_entry("i-1"))
        self.assertEqual(self.list_names(20.0), ["i-1", "i-2"])

    def test_a_target_that_was_leaving_before_an_outage_is_removed(self) -> None:
        self.fleet.put(1.0, make_entry("i-1", leaving=True))
        self.fleet.replace(10.0, [make_entry("i-2")], store_recovered_at=10.0)
        self.assertEqual(self.list_names(10.1), ["i-2"])

    def test_a_new_instance_starts_without_state(self) -> None:
        # An engine crashes and restarts under its name: its cache is empty, and it is
        # cold, so it gets a few requests a second.
        state = self.fleet.find("i-1")
        assert state is not None
        state.cached_parts.add(make_prompt("s1"))
        self.fleet.put(5.0, make_entry("i-1", started_ms=2, cold_seconds=3.0))
        again = self.fleet.find("i-1")
        assert again is not None
        self.assertEqual(again.cached_parts.count_cached(make_prompt("s1")), 0)
        self.assertTrue(again.cold_start.is_cold(7.9))
        self.assertFalse(self.fleet.is_open(state, 5.0))

    def test_a_target_that_reports_leaving_stays_away(self) -> None:
        # Guards against requests to an engine that leaves during an outage: its entry
        # says ready, expires, and is listed again. A new instance may be used.
        for started_ms, names in ((1, ["i-2"]), (2, ["i-1", "i-2"])):
            with self.subTest(started_ms=started_ms):
                self.setUp()
                state = self.fleet.find("i-1")
                assert state is not None
                state.reports_leaving = True
                self.assertEqual(self.list_names(1.0), ["i-2"])
                self.assertFalse(self.fleet.is_open(state, 1.0))
                self.fleet.put(2.0, make_entry("i-1"))
                self.assertEqual(self.list_names(2.0), ["i-2"])
                self.fleet.remove(3.0, "i-1", store_recovered_at=3.0)
                self.assertIsNone(self.fleet.find("i-1"))
                self.fleet.put(4.0, make_entry("i-1", started_ms=started_ms))
                self.assertEqual(self.list_names(4.0), names)

    def test_a_rest_holds_for_an_instance_that_is_listed_again(self) -> None:
        # Guards against requests to a resting engine whose entry expires in an outage;
        # a new instance under its name has asked for nothing.
        for started_ms, resting in ((1, True), (2, False)):
            with self.subTest(started_ms=started_ms):
                fleet = make_fleet([make_entry("i-1")])
                state = fleet.find("i-1")
                assert state is not None
                state.rest.record_rest(1.0, 30.0)
                fleet.remove(2.0, "i-1")
                fleet.put(3.0, make_entry("i-1", started_ms=started_ms))
                again = fleet.find("i-1")
                assert again is not None
                self.assertIs(again.rest.is_resting(4.0), resting)

    def test_targets_of_a_drained_data_centre_are_not_listed(self) -> None:
        self.fleet.put(1.0, make_entry("i-3", data_centre="z2"))
        self.fleet.drain_data_centres(["z1"])
        self.assertEqual(self.list_names(1.0), ["i-3"])

    def test_new_weights_empty_the_cache(self) -> None:
        state = self.fleet.find("i-1")
        assert state is not None
        state.cached_parts.add(make_prompt("s1"))
        state.record_version(MODEL, 2)
        self.assertEqual(state.cached_parts.count_cached(make_prompt("s1")), 0)

    def test_memory_of_shared_parts_is_counted_once(self) -> None:
        state = self.fleet.find("i-1")
        assert state is not None
        first = self.fleet.begin(1.0, state, make_prompt("s1"))
        alone = state.memory
        second = self.fleet.begin(1.0, state, make_prompt("s1"))
        self.assertLess(state.memory, 2 * alone - 8000)
        self.fleet.end(first)
        self.fleet.end(second)
        self.assertEqual(
            (state.memory, state.requests, state.pending_prefill), (0, 0, 0)
        )


if __name__ == "__main__":
    unittest.main()
