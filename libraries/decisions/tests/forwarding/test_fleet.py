"""Which targets are used as entries come, change, lapse and go."""

from __future__ import annotations

import unittest

from bamboopier_decisions.forwarding.fleet import STORE_RECOVERY_SECONDS

from .builders import DESK, MODEL, make_entry, make_fleet, make_prompt


class FleetTests(unittest.TestCase):
    def list_names(self, now: float) -> list[str]:
        return [s.entry.name for s in self.fleet.list_targets(DESK, now)]

    def setUp(self) -> None:
        self.fleet = make_fleet([make_entry("i-1"), make_entry("i-2")])

    def test_a_leaving_target_gets_nothing(self) -> None:
        self.fleet.put(1.0, make_entry("i-1", leaving=True))
        self.assertEqual(self.list_names(1.0), ["i-2"])

    def test_a_removed_entry_is_gone_at_once_while_the_store_is_well(self) -> None:
        self.fleet.remove(1.0, "i-1")
        self.assertEqual(self.list_names(1.0), ["i-2"])

    def test_after_an_outage_a_missing_entry_keeps_two_seconds(self) -> None:
        self.fleet.replace(10.0, [make_entry("i-2")], store_recovered_at=10.0)
        self.assertEqual(self.list_names(10.1), ["i-1", "i-2"])
        self.assertEqual(self.list_names(10.0 + STORE_RECOVERY_SECONDS), ["i-2"])

    def test_one_that_goes_later_keeps_no_longer_than_from_the_return(self) -> None:
        self.fleet.remove(11.5, "i-1", store_recovered_at=10.0)
        self.assertEqual(self.list_names(11.6), ["i-1", "i-2"])
        self.assertEqual(self.list_names(10.0 + STORE_RECOVERY_SECONDS), ["i-2"])
        self.fleet.remove(10.0 + STORE_RECOVERY_SECONDS, "i-2", store_recovered_at=10.0)
        self.assertEqual(self.list_names(10.0 + STORE_RECOVERY_SECONDS), [])

    def test_an_entry_that_is_back_in_time_stays(self) -> None:
        self.fleet.replace(10.0, [make_entry("i-2")], store_recovered_at=10.0)
        self.fleet.put(11.0, make_entry("i-1"))
        self.assertEqual(self.list_names(20.0), ["i-1", "i-2"])

    def test_one_that_was_leaving_before_the_outage_does_not_come_back(self) -> None:
        self.fleet.put(1.0, make_entry("i-1", leaving=True))
        self.fleet.replace(10.0, [make_entry("i-2")], store_recovered_at=10.0)
        self.assertEqual(self.list_names(10.1), ["i-2"])

    def test_a_new_start_under_the_same_name_knows_nothing(self) -> None:
        # An engine crashes and is back under its name: its cache is empty, and it is
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

    def test_a_closed_data_centre_gets_nothing(self) -> None:
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
