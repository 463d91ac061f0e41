"""What may be fetched from a store of parts, and when something may be saved."""

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


def hear(kept: PartStoreIndex, now: float, epoch: int, *parts: tuple[str, int]) -> None:
    """Let every store answer, and say that these parts lie whole in it."""
    changes = tuple(PartChange(SCOPE, name, tokens) for name, tokens in parts)
    for store in kept.stores:
        store.apply_update(
            now, now, PartUpdate(epoch, int(now * 1000) + 500_000, changes)
        )


class PartStoreIndexTests(unittest.TestCase):
    def setUp(self) -> None:
        self.kept = PartStoreIndex()
        self.kept.set_stores({"10.0.0.1:1": 200_000, "10.0.0.2:1": 2_000_000})

    def test_what_lies_whole_is_fetched_and_the_rest_saved(self) -> None:
        hear(self.kept, 0.0, 7)
        hear(self.kept, 10.0, 7, ("system", 512))
        plan = self.kept.plan(10.1, SCOPE, PARTS, 1)
        assert plan is not None
        self.assertTrue(plan.fetch[0])
        self.assertEqual(plan.fetch[1:], ("", ""))
        self.assertEqual(
            (plan.save[0], bool(plan.save[1]), plan.save[2]), ("", True, "")
        )

    def test_a_part_is_saved_by_one_request(self) -> None:
        hear(self.kept, 0.0, 7)
        hear(self.kept, 10.0, 7)
        first = self.kept.plan(10.1, SCOPE, PARTS, 1)
        second = self.kept.plan(10.2, SCOPE, PARTS, 1)
        self.assertTrue(first is not None and any(first.save))
        self.assertIsNone(second)

    def test_another_length_or_scope_is_another_part(self) -> None:
        hear(self.kept, 0.0, 7)
        hear(self.kept, 10.0, 7, ("session", 4000))
        self.assertEqual(self.kept.count_fetched(10.1, SCOPE, [("session", 8600)]), 0)
        self.assertEqual(self.kept.count_fetched(10.1, "/2", [("session", 4000)]), 0)
        self.assertEqual(
            self.kept.count_fetched(10.1, SCOPE, [("session", 4000)]), 4000
        )

    def test_beliefs_end_when_the_store_is_silent(self) -> None:
        # The store goes dark. What is believed of it holds for a moment, in which it
        # cannot have started anew and been written to; then nothing is fetched.
        hear(self.kept, 0.0, 7)
        hear(self.kept, 10.0, 7, *PARTS)
        before, after = 9.99 + UPDATE_VALID_SECONDS, 10.01 + UPDATE_VALID_SECONDS
        self.assertEqual(self.kept.count_fetched(before, SCOPE, PARTS), 9112)
        self.assertEqual(self.kept.count_fetched(after, SCOPE, PARTS), 0)
        self.assertIsNone(self.kept.plan(after, SCOPE, PARTS, 1))

    def test_a_fetch_ends_before_a_new_start_may_be_written_to(self) -> None:
        # A store restarts right after it answered, and another gateway sees its new
        # start at once. That one saves nothing before every fetch that was allowed
        # under the former start has ended.
        hear(self.kept, 0.0, 7)
        hear(self.kept, 10.0, 7, *PARTS)
        plan = self.kept.plan(10.0, SCOPE, PARTS, 1)
        assert plan is not None
        fetch_end = (plan.fetch_deadline_ms - 500_000) / 1000
        other = PartStoreIndex()
        other.set_stores({"10.0.0.1:1": 200_000, "10.0.0.2:1": 2_000_000})
        now = 10.0
        while now < fetch_end:
            hear(other, now, 8)
            self.assertIsNone(other.plan(now, SCOPE, PARTS, 1))
            now += 0.1
        self.assertLess(fetch_end, 10.0 + SAVE_HOLD_OFF_SECONDS)

    def test_an_answer_that_is_read_late_is_taken_on_the_safe_side(self) -> None:
        # The gateway is suspended with a question open. What it was told ends as if the
        # store had answered at once; a start that it was told of is as new as if the
        # store had answered last.
        store = self.kept.find("10.0.0.1:1")
        assert store is not None
        store.apply_update(10.0, 11.0, PartUpdate(7, 500_000, ()))
        self.assertTrue(store.is_current(9.99 + UPDATE_VALID_SECONDS))
        self.assertFalse(store.is_current(10.01 + UPDATE_VALID_SECONDS))
        store.apply_update(13.0, 14.0, PartUpdate(7, 503_000, ()))
        self.assertFalse(store.can_save(10.99 + SAVE_HOLD_OFF_SECONDS, 500))
        self.assertTrue(store.can_save(11.01 + SAVE_HOLD_OFF_SECONDS, 500))

    def test_a_new_start_holds_nothing(self) -> None:
        hear(self.kept, 0.0, 7)
        hear(self.kept, 10.0, 7, *PARTS)
        hear(self.kept, 10.5, 8)
        self.assertEqual(self.kept.count_fetched(10.6, SCOPE, PARTS), 0)

    def test_starts_are_ordered_by_the_clock_of_the_stores(self) -> None:
        # Two others hand on what a store said: one lags behind. Only what it said under
        # a start before the known one is set aside, also when a call has just failed,
        # so that no start is believed in.
        hear(self.kept, 10.0, 7)
        hear(self.kept, 11.0, 3)
        store = self.kept.stores[0]
        for lost in (False, True):
            with self.subTest(lost=lost):
                if lost:
                    store.invalidate()
                self.assertTrue(store.is_outdated(PartUpdate(7, 510_900, ())))
                self.assertFalse(store.is_outdated(PartUpdate(5, 511_100, ())))
        hear(self.kept, 12.0, 3)
        self.assertFalse(store.is_outdated(PartUpdate(3, 511_000, ())))

    def test_a_store_that_never_told_its_clock_has_no_order_of_starts(self) -> None:
        store = self.kept.stores[0]
        store.apply_update(10.0, 10.0, PartUpdate(7, 0, ()))
        self.assertFalse(store.is_outdated(PartUpdate(3, 0, ())))

    def test_a_store_without_a_clock_is_not_fetched_from(self) -> None:
        changes = tuple(PartChange(SCOPE, name, tokens) for name, tokens in PARTS)
        for store in self.kept.stores:
            store.apply_update(10.0, 10.0, PartUpdate(7, 0, changes))
        self.assertIsNone(self.kept.plan(10.1, SCOPE, PARTS, 1))

    def test_a_full_store_gets_nothing_more(self) -> None:
        kept = PartStoreIndex()
        kept.set_stores({"10.0.0.1:1": 10_000})
        hear(kept, 0.0, 7)
        hear(kept, 10.0, 7, ("other", 5000))
        plan = kept.plan(10.1, SCOPE, PARTS, 1)
        assert plan is not None
        self.assertEqual([bool(a) for a in plan.save], [True, False, False])

    def test_stores_get_parts_by_their_room(self) -> None:
        chosen = [self.kept.choose_store(f"part-{n}") for n in range(2000)]
        small = sum(1 for s in chosen if s is not None and s.capacity == 200_000)
        self.assertTrue(120 < small < 260, small)


if __name__ == "__main__":
    unittest.main()
