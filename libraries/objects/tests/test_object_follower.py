"""The time since which a list may contain changes that were not reported."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from result import Err, Ok

from bamboopier_objects.errors import PlatformUnavailableError, WatchGapError
from bamboopier_objects.object_follower import (
    CHECK_SECONDS,
    STALLED_WATCH_SECONDS,
    ObjectFollower,
)
from bamboopier_objects.objects import (
    ChangeBatch,
    ChangedObject,
    Listing,
    StoredObject,
)

if TYPE_CHECKING:
    from result import Result

    from bamboopier_objects.errors import PlatformError

LISTING = Ok(Listing(7, ()))
NOTHING = Ok(ChangeBatch(7, ()))


class UnreportedChangeTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.observer = mock.Mock()
        self.store = mock.AsyncMock()
        self.store.list.return_value = LISTING

    async def follow(
        self, *responses: tuple[float, Result[ChangeBatch, PlatformError]]
    ) -> list[float]:
        """Respond to watches after the given seconds; return each ``known_until``."""
        left = list(responses)

        async def watch(*_: object) -> Result[ChangeBatch, PlatformError]:
            if not left:
                await asyncio.sleep(3600)
            seconds, response = left.pop(0)
            self.now += seconds
            return response

        self.store.watch_values.side_effect = watch
        follower = ObjectFollower(
            self.store,
            "k/",
            self.observer,
            2.0,
            random.Random(1),
            lambda: self.now,
            change_pause=0.0,
        )
        expected = 1 + sum(isinstance(response, Err) for _, response in responses)
        with mock.patch("bamboopier_objects.object_follower.log"):
            task = asyncio.create_task(follower.run())
            async with asyncio.timeout(10):
                while self.observer.apply_listing.call_count < expected:  # noqa: ASYNC110
                    await asyncio.sleep(0.005)
            task.cancel()
        return [call.args[2] for call in self.observer.apply_listing.call_args_list]

    async def test_the_first_listing_states_no_time(self) -> None:
        self.assertEqual(await self.follow(), [float("-inf")])

    async def test_a_watch_without_response_may_hide_changes_since_it_was_sent(
        self,
    ) -> None:
        # One watch ends as expected after two seconds. The next gets no response for
        # three and a half, although something changed right after it was sent.
        failed = Err(PlatformUnavailableError("no response"))
        reported = await self.follow((2.0, NOTHING), (3.5, failed))
        self.assertEqual(reported[1], 102.0)

    async def test_a_watch_gap_may_hide_changes_since_the_watch_was_sent(
        self,
    ) -> None:
        reported = await self.follow((2.0, NOTHING), (1.0, Err(WatchGapError("gone"))))
        self.assertEqual(reported[1], 102.0)

    async def test_changes_between_two_watches_may_be_hidden(self) -> None:
        # A gateway is paused for four seconds. Its watch ends empty at the store after
        # two, as expected, and a weight version is published after that. The gateway
        # reads the empty response when it resumes; its next watch fails after six
        # seconds. Guards against a follower that then assumes the version in the list
        # to be two seconds younger than it may be: the older one would be used for two
        # seconds too long.
        failed = Err(PlatformUnavailableError("no response"))
        reported = await self.follow((4.0, NOTHING), (6.0, failed))
        self.assertLessEqual(reported[1], 102.0)

    async def test_a_watch_that_ended_early_may_hide_changes_since_it_was_sent(
        self,
    ) -> None:
        """Guards against an early response that a suspended process reads late."""
        # The store ends the watch of two seconds at once; it is read after 1.5 s.
        failed = Err(PlatformUnavailableError("no response"))
        reported = await self.follow((1.5, NOTHING), (2.0, failed))
        self.assertEqual(reported[1], 100.0)

    async def test_a_second_change_soon_after_the_first_is_not_late(self) -> None:
        """Guards against targets that all load a second version at the same time."""
        # Only watches confirm anything here. The first brings a change just before it
        # would end, and the second, sent then, another one just before it would end.
        changes = [Ok(ChangeBatch(n, (ChangedObject("k/a", n, b""),))) for n in (8, 9)]
        failed = Err(PlatformUnavailableError("no response"))
        self.store.list.side_effect = [LISTING, Ok(Listing(9, ()))]
        await self.follow((1.9, changes[0]), (1.9, changes[1]), (2.0, failed))
        late = [call.kwargs["late"] for call in self.observer.apply_change.mock_calls]
        self.assertEqual(late, [False, False])

    async def test_a_change_in_a_delayed_response_is_late(self) -> None:
        changed = Ok(ChangeBatch(8, (ChangedObject("k/a", 8, b""),)))
        failed = Err(PlatformUnavailableError("no response"))
        self.store.list.side_effect = [LISTING, Ok(Listing(8, ()))]
        await self.follow((2.5, changed), (2.0, failed))
        self.assertTrue(self.observer.apply_change.call_args.kwargs["late"])


class CheckTests(unittest.IsolatedAsyncioTestCase):
    """Checks beside a long watch whose connection is silent."""

    async def asyncSetUp(self) -> None:
        self.now = 100.0
        self.observer = mock.Mock()
        self.store = mock.AsyncMock()
        self.store.list.return_value = LISTING
        self.store.watch_values.side_effect = self.watch
        # Responses to checks; long watches get none.
        self.checked: list[Result[ChangeBatch, PlatformError]] = []
        self.watched_from: list[int] = []
        self.follower = ObjectFollower(
            self.store,
            "k/",
            self.observer,
            25.0,
            random.Random(1),
            lambda: self.now,
            1.15,
        )
        patch = mock.patch("bamboopier_objects.object_follower.log")
        patch.start()
        self.addCleanup(patch.stop)
        self.task = asyncio.create_task(self.follower.run())
        self.addCleanup(self.task.cancel)
        await asyncio.sleep(0.01)

    async def watch(
        self, prefix: str, after: int, seconds: float
    ) -> Result[ChangeBatch, PlatformError]:
        if seconds == CHECK_SECONDS:
            return self.checked.pop(0)
        self.watched_from.append(after)
        await asyncio.sleep(3600)
        raise AssertionError

    async def test_a_check_finds_a_change_that_the_watch_hides(self) -> None:
        # Guards against requests to a target that drains, for as long as the watch of
        # 25 s lasts; the watch is sent again from there.
        change = ChangedObject("k/a", 9, b"v")
        self.checked = [Ok(ChangeBatch(9, (change,)))]
        await self.follower.check()
        self.observer.apply_change.assert_called_once()
        await asyncio.sleep(STALLED_WATCH_SECONDS + 0.1)
        self.assertEqual(self.watched_from, [7, 9])

    async def test_a_check_without_changes_confirms_the_list(self) -> None:
        self.now = 103.0
        self.checked = [NOTHING]
        await self.follower.check()
        self.assertEqual(self.follower.known_until, 103.0)
        self.assertEqual(self.watched_from, [7])

    async def test_a_check_without_history_lists_again(self) -> None:
        self.checked = [Err(WatchGapError("gone"))]
        await self.follower.check()
        await asyncio.sleep(0.01)
        self.assertEqual(self.store.list.await_count, 2)

    async def test_a_check_without_the_change_that_was_reported_lists_again(
        self,
    ) -> None:
        """Guards against a removal that a response left out, and is never told again.

        A store that is about to drop its history may leave out the last changes, and
        continues after them.
        """
        self.checked = [Ok(ChangeBatch(9, ())), Ok(ChangeBatch(9, ()))]
        await self.follower.check()
        await asyncio.sleep(0.01)
        self.assertEqual(self.store.list.await_count, 1)
        self.store.list.return_value = Ok(Listing(9, ()))
        await self.follower.check(expects_change=True)
        await asyncio.sleep(0.01)
        self.assertEqual(self.store.list.await_count, 2)

    async def test_a_check_that_fails_lists_again(self) -> None:
        # Guards against a long watch that outlives an outage of the store.
        self.checked = [Err(PlatformUnavailableError("away"))]
        await self.follower.check()
        await asyncio.sleep(0.01)
        self.assertEqual(self.store.list.await_count, 2)
        self.assertEqual(len(self.watched_from), 2)

    async def test_a_change_is_applied_once(self) -> None:
        # The check and the watch report it both; in between its object has changed.
        old, new = ChangedObject("k/a", 8, b"1"), ChangedObject("k/a", 9, b"2")
        self.checked = [Ok(ChangeBatch(9, (old, new))), Ok(ChangeBatch(9, (old, new)))]
        await self.follower.check()
        await self.follower.check()
        applied = [c.args[0].value for c in self.observer.apply_change.call_args_list]
        self.assertEqual(applied, [b"1", b"2"])

    async def test_an_older_response_does_not_undo_a_newer_one(self) -> None:
        # A target is deleted and registered again under its name. The check reports
        # both, and the response to the watch arrives later with the deletion alone.
        gone, back = ChangedObject("k/a", 8, None), ChangedObject("k/a", 9, b"2")
        self.checked = [Ok(ChangeBatch(9, (gone, back))), Ok(ChangeBatch(8, (gone,)))]
        await self.follower.check()
        await self.follower.check()
        applied = [c.args[0].value for c in self.observer.apply_change.call_args_list]
        self.assertEqual(applied, [None, b"2"])

    async def test_an_old_removal_does_not_undo_a_newer_creation(self) -> None:
        """Guards against a target that is not used though it registered again."""
        # The check brings the creation at 9; the response to the watch, created after
        # it, brings the removal before it once more.
        gone, back = ChangedObject("k/a", 8, None), ChangedObject("k/a", 9, b"2")
        other = ChangedObject("k/b", 10, b"3")
        self.checked = [Ok(ChangeBatch(9, (back,))), Ok(ChangeBatch(10, (gone, other)))]
        await self.follower.check()
        await self.follower.check()
        applied = [c.args[0].value for c in self.observer.apply_change.call_args_list]
        self.assertEqual(applied, [b"2", b"3"])

    async def test_a_listed_removal_is_a_change_up_to_the_lists_revision(self) -> None:
        """Guards against a removal that the newest listed object does not show."""
        created = [ChangedObject(f"k/{n}", n, b"v") for n in (8, 9)]
        self.checked = [Ok(ChangeBatch(9, tuple(created))), Err(WatchGapError("gone"))]
        await self.follower.check()
        before = self.follower.fingerprint
        kept = StoredObject("k/8", 8, b"v")
        self.store.list.return_value = Ok(Listing(30, (kept,)))
        await self.follower.check()
        await asyncio.sleep(0.01)
        self.assertEqual(self.follower.changed_revision, 30)
        self.assertNotEqual(self.follower.fingerprint, before)

    async def test_a_list_of_what_is_known_is_no_change(self) -> None:
        """Guards against questions of all others whenever a process lists again."""
        self.checked = [
            Ok(ChangeBatch(8, (ChangedObject("k/8", 8, b"v"),))),
            Err(WatchGapError("gone")),
        ]
        await self.follower.check()
        before = self.follower.fingerprint
        found = StoredObject("k/8", 8, b"v")
        self.store.list.return_value = Ok(Listing(30, (found,)))
        await self.follower.check()
        await asyncio.sleep(0.01)
        self.assertEqual(self.follower.revision, 30)
        self.assertEqual(self.follower.changed_revision, 8)
        self.assertEqual(self.follower.fingerprint, before)

    async def test_lists_and_watches_lead_to_the_same_fingerprint(self) -> None:
        """Guards against needless calls when one has listed what others watched."""
        changes = (
            ChangedObject("k/8", 8, b"v"),
            ChangedObject("k/9", 9, b"v"),
            ChangedObject("k/8", 10, None),
        )
        self.checked = [Ok(ChangeBatch(10, changes)), Err(WatchGapError("gone"))]
        await self.follower.check()
        watched = self.follower.fingerprint
        found = StoredObject("k/9", 9, b"v")
        self.store.list.return_value = Ok(Listing(11, (found,)))
        await self.follower.check()
        await asyncio.sleep(0.01)
        self.assertEqual(self.follower.revision, 11)
        self.assertEqual(self.follower.fingerprint, watched)

    async def test_another_process_confirms_only_a_list_that_was_read(self) -> None:
        self.follower.confirm(104.0)
        self.assertEqual(self.follower.known_until, 104.0)
        self.follower.confirm(102.0)
        self.assertEqual(self.follower.known_until, 104.0)
        self.follower.loaded.clear()
        self.follower.confirm(105.0)
        self.assertEqual(self.follower.known_until, 104.0)


if __name__ == "__main__":
    unittest.main()
