"""Which software version may serve a stream that has begun."""

from __future__ import annotations

import random
import unittest

from bamboopier_decisions.forwarding.demand import Demand, WeightVersionRange
from bamboopier_decisions.forwarding.placement import choose_target
from bamboopier_decisions.forwarding.stream_origins import (
    RETENTION_SECONDS,
    StreamOrigin,
    StreamOrigins,
    make_stream_key,
)
from bamboopier_decisions.forwarding.version_history import (
    MAX_LIST_AGE_SECONDS,
    STREAM_SECONDS,
    VersionHistory,
)

from .builders import DESK, make_entry, make_fleet

OLD, NEW = "v1", "v1.1"
KEY = make_stream_key("midlands", "request-1")
NEVER = float("-inf")


class StreamOriginTests(unittest.TestCase):
    def test_the_first_origin_stays(self) -> None:
        # Guards against a stream that goes on at the version of its latest try.
        origins = StreamOrigins()
        first = StreamOrigin(DESK, OLD)
        self.assertEqual(origins.record(0.0, KEY, first), first)
        self.assertEqual(origins.record(1.0, KEY, StreamOrigin(DESK, NEW)), first)
        self.assertEqual(origins.find(1.0 + RETENTION_SECONDS - 0.1, KEY), first)
        self.assertIsNone(origins.find(1.0 + RETENTION_SECONDS, KEY))

    def test_requests_of_other_workspaces_are_other_streams(self) -> None:
        # Guards against workspaces whose callers number their requests alike.
        keys = {make_stream_key(name, "1") for name in ("midlands", "kaas", "")}
        self.assertEqual(len(keys), 3)

    def test_the_oldest_are_dropped_first(self) -> None:
        # Guards against a table that grows with the load.
        origins = StreamOrigins(max_origins=3)
        for number in range(5):
            origins.record(float(number), b"%d" % number, StreamOrigin(DESK, OLD))
        known = [n for n in range(5) if origins.find(5.0, b"%d" % n) is not None]
        self.assertEqual(known, [2, 3, 4])

    def test_an_origin_is_kept_for_as_long_as_its_stream_may_last(self) -> None:
        # Guards against a long stream that is refused, since its origin was forgotten.
        origins = StreamOrigins()
        origins.set_longest_stream(RETENTION_SECONDS)
        origins.record(1.0, KEY, StreamOrigin(DESK, OLD))
        self.assertIsNotNone(origins.find(1.0 + RETENTION_SECONDS, KEY))
        self.assertIsNone(origins.find(1.0 + 2 * RETENTION_SECONDS, KEY))


class VersionHistoryTests(unittest.TestCase):
    def setUp(self) -> None:
        self.history = VersionHistory()
        self.history.record_list(0.0, NEVER)
        self.history.update(0.0, {DESK: {OLD}})

    def find(self, now: float, list_age: float = 0.5) -> set[str] | None:
        """Return the versions that may have begun a stream."""
        recent = self.history.find_recent(now, DESK, list_age)
        return set(recent) if recent is not None else None

    def test_a_version_that_was_alone_for_long_began_every_stream(self) -> None:
        # Guards against streams that are refused although one version serves.
        self.assertEqual(self.find(STREAM_SECONDS), {OLD})
        self.assertEqual(self.find(10 * STREAM_SECONDS), {OLD})

    def test_a_list_that_was_just_read_shows_nothing(self) -> None:
        # Guards against a gateway that starts after the stream began.
        self.assertIsNone(self.find(STREAM_SECONDS - 0.1))

    def test_no_stream_is_older_than_the_system(self) -> None:
        # Guards against streams that are refused in the first half minute of all.
        first = VersionHistory(first_start=True)
        first.record_list(1.0, NEVER)
        first.update(1.0, {DESK: {OLD}})
        self.assertEqual(first.find_recent(2.0, DESK, 0.5), {OLD})
        first.record_list(20.0, 10.0)
        self.assertIsNone(first.find_recent(20.0, DESK, 0.5))

    def test_an_old_list_shows_nothing(self) -> None:
        # Guards against a gateway that is cut off from the store while a version
        # appears that other gateways use.
        self.assertIsNone(self.find(STREAM_SECONDS, MAX_LIST_AGE_SECONDS + 0.1))

    def test_a_gap_hides_versions(self) -> None:
        # Guards against a version that came and went while changes were missed.
        late = 2 * STREAM_SECONDS
        self.history.record_list(late, late - MAX_LIST_AGE_SECONDS - 0.1)
        self.assertIsNone(self.find(late + STREAM_SECONDS - 0.1))
        self.assertEqual(self.find(late + STREAM_SECONDS), {OLD})
        self.history.record_list(2 * late, 2 * late - 1.0)
        self.assertEqual(self.find(2 * late), {OLD})

    def test_a_version_counts_for_as_long_as_its_streams_may_last(self) -> None:
        # Guards against streams of a version whose last target has just ended.
        appeared = 2 * STREAM_SECONDS
        self.history.update(appeared, {DESK: {OLD, NEW}})
        self.assertEqual(self.find(appeared), {OLD, NEW})
        gone = appeared + 5.0
        self.history.update(gone, {DESK: {NEW}})
        self.assertEqual(self.find(gone + STREAM_SECONDS - 0.1), {OLD, NEW})
        self.assertEqual(self.find(gone + STREAM_SECONDS), {NEW})

    def test_a_version_counts_for_as_long_as_the_longest_timeout(self) -> None:
        # Guards against a stream of a long timeout that goes on at the version which
        # replaced the one that began it.
        timeout = 4 * STREAM_SECONDS
        self.history.set_longest_stream(timeout)
        self.history.update(1.0, {DESK: {NEW}})
        for now in (2 * STREAM_SECONDS, timeout):
            self.history.update(now, {DESK: {NEW}})
            self.assertEqual(
                self.history.find_recent(now, DESK, 0.5, timeout),
                {OLD, NEW} if now == timeout else None,
            )
        self.assertEqual(self.find(timeout), {NEW})
        self.history.update(1.0 + timeout, {DESK: {NEW}})
        recent = self.history.find_recent(1.0 + timeout, DESK, 0.5, timeout)
        self.assertEqual(recent, {NEW})

    def test_services_have_versions_of_their_own(self) -> None:
        # Guards against another service's release that makes streams unknown.
        self.history.update(1.0, {DESK: {OLD}, "vans": {OLD, NEW}})
        self.assertEqual(self.find(STREAM_SECONDS), {OLD})
        for service, versions in (("vans", {OLD, NEW}), ("other", set())):
            recent = self.history.find_recent(STREAM_SECONDS, service, 0.5)
            self.assertEqual(recent, versions)


class PlacementTests(unittest.TestCase):
    def choose(self, version: str | None) -> tuple[str | None, int]:
        """Return the target chosen, and how many could be."""
        fleet = make_fleet(
            [
                make_entry("old", software_version=OLD),
                make_entry("new", software_version=NEW),
            ]
        )
        busy = fleet.find("old")
        assert busy is not None
        busy.own_load.requests = 20
        placement = choose_target(
            0.0,
            fleet,
            Demand(DESK, 2, None, 0.4, software_version=version),
            set(),
            WeightVersionRange(),
            "z1",
            random.Random(1),
        )
        state = placement.state
        return (state.entry.name if state is not None else None), placement.known

    def test_a_stream_that_has_begun_goes_on_at_its_version(self) -> None:
        # Guards against a target of another version that has more room.
        self.assertEqual(self.choose(None), ("new", 2))
        self.assertEqual(self.choose(OLD), ("old", 1))
        self.assertEqual(self.choose("v9"), (None, 0))

    def test_a_stream_that_has_begun_comes_before_new_ones(self) -> None:
        # Guards against a stream that waits where only urgent requests are placed.
        begun = Demand(DESK, 2, None, 0.4, software_version=OLD)
        urgent = Demand(DESK, 0, None, 0.4)
        self.assertEqual(begun.max_memory_share, urgent.max_memory_share)
        self.assertEqual(begun.max_backlog_seconds, urgent.max_backlog_seconds)


if __name__ == "__main__":
    unittest.main()
