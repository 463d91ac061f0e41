"""Tests of what may be fetched from a part store, and when parts may be saved."""

from __future__ import annotations

import unittest

from bamboopier_decisions.forwarding.part_store_index import (
    SAVE_HOLD_OFF_SECONDS,
    UPDATE_VALID_SECONDS,
    PartChange,
    PartStoreIndex,
    PartUpdate,
)

SCOPE = "/1"
PARTS = [("system", 512), ("session", 8600)]


def respond(
    index: PartStoreIndex, now: float, epoch: int, *parts: tuple[str, int]
) -> None:
    """Apply a response of every store that reports these parts as complete."""
    changes = tuple(PartChange(SCOPE, name, tokens) for name, tokens in parts)
    for store in index.stores:
        store.apply_update(
            now, now, PartUpdate(epoch, int(now * 1000) + 500_000, changes)
        )


class PartStoreIndexTests(unittest.TestCase):
    def setUp(self) -> None:
        self.index = PartStoreIndex()
        self.index.set_stores({"10.0.0.1:1": 200_000, "10.0.0.2:1": 2_000_000})

    def test_complete_parts_are_fetched_and_the_rest_saved(self) -> None:
        respond(self.index, 0.0, 7)
        respond(self.index, 10.0, 7, ("system", 512))
        plan = self.index.plan(10.1, SCOPE, PARTS, 1)
        assert plan is not None
        self.assertTrue(plan.fetch[0])
        self.assertEqual(plan.fetch[1:], ("", ""))
        self.assertEqual(
            (plan.save[0], bool(plan.save[1]), plan.save[2]), ("", True, "")
        )

    def test_a_part_is_saved_by_one_request(self) -> None:
        respond(self.index, 0.0, 7)
        respond(self.index, 10.0, 7)
        first = self.index.plan(10.1, SCOPE, PARTS, 1)
        second = self.index.plan(10.2, SCOPE, PARTS, 1)
        self.assertTrue(first is not None and any(first.save))
        self.assertIsNone(second)

    def test_another_length_or_scope_is_another_part(self) -> None:
        respond(self.index, 0.0, 7)
        respond(self.index, 10.0, 7, ("session", 4000))
        self.assertEqual(self.index.count_fetched(10.1, SCOPE, [("session", 8600)]), 0)
        self.assertEqual(self.index.count_fetched(10.1, "/2", [("session", 4000)]), 0)
        self.assertEqual(
            self.index.count_fetched(10.1, SCOPE, [("session", 4000)]), 4000
        )

    def test_the_index_expires_without_responses(self) -> None:
        # Guards against fetches from a store that has restarted. The store stops
        # responding. Its index stays valid for a moment, in which it cannot have
        # restarted and been written to; then nothing is fetched.
        respond(self.index, 0.0, 7)
        respond(self.index, 10.0, 7, *PARTS)
        before, after = 9.99 + UPDATE_VALID_SECONDS, 10.01 + UPDATE_VALID_SECONDS
        self.assertEqual(self.index.count_fetched(before, SCOPE, PARTS), 9112)
        self.assertEqual(self.index.count_fetched(after, SCOPE, PARTS), 0)
        self.assertIsNone(self.index.plan(after, SCOPE, PARTS, 1))

    def test_a_fetch_ends_before_a_new_epoch_may_be_written_to(self) -> None:
        # A store restarts right after its response, and another gateway sees the new
        # epoch at once. That gateway saves nothing before every fetch that was allowed
        # under the previous epoch has ended.
        respond(self.index, 0.0, 7)
        respond(self.index, 10.0, 7, *PARTS)
        plan = self.index.plan(10.0, SCOPE, PARTS, 1)
        assert plan is not None
        fetch_end = (plan.fetch_deadline_ms - 500_000) / 1000
        other = PartStoreIndex()
        other.set_stores({"10.0.0.1:1": 200_000, "10.0.0.2:1": 2_000_000})
        now = 10.0
        while now < fetch_end:
            respond(other, now, 8)
            self.assertIsNone(other.plan(now, SCOPE, PARTS, 1))
            now += 0.1
        self.assertLess(fetch_end, 10.0 + SAVE_HOLD_OFF_SECONDS)

    def test_a_response_that_is_read_late_is_dated_conservatively(self) -> None:
        # The gateway is suspended with a request open. The response expires as if the
        # store had made it at once; an epoch that it reports counts as new as if the
        # store had made it last.
        store = self.index.find("10.0.0.1:1")
        assert store is not None
        store.apply_update(10.0, 11.0, PartUpdate(7, 500_000, ()))
        self.assertTrue(store.is_current(9.99 + UPDATE_VALID_SECONDS))
        self.assertFalse(store.is_current(10.01 + UPDATE_VALID_SECONDS))
        store.apply_update(13.0, 14.0, PartUpdate(7, 503_000, ()))
        self.assertFalse(store.can_save(10.99 + SAVE_HOLD_OFF_SECONDS, 500))
        self.assertTrue(store.can_save(11.01 + SAVE_HOLD_OFF_SECONDS, 500))

    def test_a_new_epoch_has_no_parts(self) -> None:
        respond(self.index, 0.0, 7)
        respond(self.index, 10.0, 7, *PARTS)
        respond(self.index, 10.5, 8)
        self.assertEqual(self.index.count_fetched(10.6, SCOPE, PARTS), 0)

    def test_epochs_are_ordered_by_the_clock_of_the_stores(self) -> None:
        # Two other gateways relay a response of a store: one lags behind. Only an
        # update of an epoch before the known one is ignored, also when a call has just
        # failed, so that no epoch is current.
        respond(self.index, 10.0, 7)
        respond(self.index, 11.0, 3)
        store = self.index.stores[0]
        for lost in (False, True):
            with self.subTest(lost=lost):
                if lost:
                    store.invalidate()
                self.assertTrue(store.is_outdated(PartUpdate(7, 510_900, ())))
                self.assertFalse(store.is_outdated(PartUpdate(5, 511_100, ())))
        respond(self.index, 12.0, 3)
        self.assertFalse(store.is_outdated(PartUpdate(3, 511_000, ())))

    def test_epochs_of_a_store_without_a_clock_are_not_ordered(self) -> None:
        store = self.index.stores[0]
        store.apply_update(10.0, 10.0, PartUpdate(7, 0, ()))
        self.assertFalse(store.is_outdated(PartUpdate(3, 0, ())))

    def test_a_store_without_a_clock_is_not_fetched_from(self) -> None:
        changes = tuple(PartChange(SCOPE, name, tokens) for name, tokens in PARTS)
        for store in self.index.stores:
            store.apply_update(10.0, 10.0, PartUpdate(7, 0, changes))
        self.assertIsNone(self.index.plan(10.1, SCOPE, PARTS, 1))

    def test_nothing_is_saved_to_a_full_store(self) -> None:
        index = PartStoreIndex()
        index.set_stores({"10.0.0.1:1": 10_000})
        respond(index, 0.0, 7)
        respond(index, 10.0, 7, ("other", 5000))
        plan = index.plan(10.1, SCOPE, PARTS, 1)
        assert plan is not None
        self.assertEqual([bool(a) for a in plan.save], [True, False, False])

    def test_stores_are_assigned_parts_by_their_capacity(self) -> None:
        chosen = [self.index.choose_store(f"part-{n}") for n in range(2000)]
        small = sum(1 for s in chosen if s is not None and s.capacity == 200_000)
        self.assertTrue(120 < small < 260, small)


if __name__ == "__main__":
    unittest.main()
