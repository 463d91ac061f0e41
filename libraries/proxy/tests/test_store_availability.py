"""Tests of which gaps count as an outage of the store."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

from result import Err, Ok

from bamboopier_decisions.forwarding.fleet import Fleet
from bamboopier_decisions.forwarding.specs import TargetEntry
from bamboopier_decisions.forwarding.version_history import VersionHistory
from bamboopier_objects.errors import (
    MalformedObjectError,
    PlatformUnavailableError,
    ResponseTooLargeError,
    WatchGapError,
)
from bamboopier_objects.objects import (
    ChangeBatch,
    ChangedObject,
    Listing,
    StoredObject,
)
from bamboopier_proxy.configuration_follower import ConfigurationFollower
from bamboopier_proxy.monitored_store import MonitoredStore
from bamboopier_proxy.observers import TargetObserver
from bamboopier_proxy.store_availability import StoreAvailability


class StoreAvailabilityTests(unittest.IsolatedAsyncioTestCase):
    async def test_one_silent_watch_is_no_outage_of_the_store(self) -> None:
        # The connection of a gateway's watch of targets stalls for three and a half
        # seconds; its other calls to the store are answered all the time, so no entry
        # can have expired. A target that left meanwhile is missing in the next list,
        # and gets no more requests.
        times = iter((100.0, 100.0, 101.0, 101.0, 102.0, 102.0, 103.5, 103.5))
        availability, fleet = StoreAvailability(), Fleet()
        schema = mock.Mock(targets_prefix="t/", configuration_key="c")
        store = mock.AsyncMock()
        found = StoredObject("c", 5, b"")
        store.list.return_value = Ok(Listing(5, (found,)))
        poll = ConfigurationFollower(
            store, schema, mock.Mock(), availability, random.Random(1), 15.0
        )
        observer = TargetObserver(
            schema, fleet, availability, VersionHistory(), mock.Mock()
        )
        entry = TargetEntry("i-1", 1, "chat", "10.0.0.1", 80, "z1", 4, False, 0.0)
        fleet.put(100.0, entry)
        with (
            mock.patch("bamboopier_proxy.observers.log"),
            mock.patch("bamboopier_proxy.observers.read_clock", return_value=103.5),
            mock.patch(
                "bamboopier_proxy.configuration_follower.read_clock",
                side_effect=lambda: next(times),
            ),
        ):
            for _ in range(4):
                self.assertTrue(await poll.read())
            observer.apply_listing(Listing(9, ()), 3.5, 100.0)
        self.assertEqual(fleet.list_targets("chat", 103.6), [])

    async def test_a_large_configuration_in_transfer_is_no_outage(self) -> None:
        # Guards against a target that leaves while a weak link transfers a megabyte: if
        # the transfer counted as an outage of the store, the target would get requests
        # for two more seconds.
        availability = StoreAvailability()
        availability.record_response(100.0, 100.0)
        seen: list[bool] = []
        value = b"x" * 1_000_000

        async def read(_: str) -> Ok[Listing]:
            seen.append(availability.is_recovering(101.7))
            found = StoredObject("c", len(seen), value)
            return Ok(Listing(len(seen), (found,)))

        schema = mock.Mock(configuration_key="c")
        follower = ConfigurationFollower(
            mock.Mock(list=read),
            schema,
            mock.Mock(),
            availability,
            random.Random(1),
            15.0,
        )
        module = "bamboopier_proxy.configuration_follower.read_clock"
        with mock.patch(module, return_value=100.0):
            await follower.read()
            await follower.read()
        self.assertEqual(seen[1], False)

    async def test_a_large_version_received_by_a_watch_is_no_outage(self) -> None:
        # Guards against the same while a watch delivers a new version, whose response
        # arrives over a weak link seconds after the end of the wait.
        availability = StoreAvailability()
        availability.record_response(100.0, 100.0)
        seen: list[bool] = []

        async def watch(*_: object) -> Ok[ChangeBatch]:
            seen.append(availability.is_recovering(102.6))
            change = ChangedObject("c", 6, b"x" * 1_000_000)
            return Ok(ChangeBatch(6, (change,)))

        store = mock.AsyncMock(watch_values=watch)
        found = StoredObject("c", 5, b"")
        store.list.return_value = Ok(Listing(5, (found,)))
        schema = mock.Mock(configuration_key="c")
        loader = mock.Mock()
        follower = ConfigurationFollower(
            store, schema, loader, availability, random.Random(1), 15.0
        )
        module = "bamboopier_proxy.configuration_follower"
        with (
            mock.patch(f"{module}.read_clock", return_value=100.0),
            mock.patch(f"{module}.asyncio.sleep", side_effect=asyncio.CancelledError),
        ):
            loader.load.side_effect = [True, False]
            with self.assertRaises(asyncio.CancelledError):
                await follower.run()
        self.assertEqual(seen, [False])

    def test_a_store_that_accepts_no_call_for_a_second_had_an_outage(self) -> None:
        # The last call was accepted at 100.0 and the next at 101.2; entries have
        # expired.
        availability = StoreAvailability()
        availability.record_response(100.0, 100.0)
        availability.record_failure(100.7)
        availability.record_failure(100.9)
        availability.record_response(101.2, 101.2)
        self.assertTrue(availability.is_recovering(101.2))
        self.assertFalse(availability.is_recovering(103.5))

    def test_one_failed_call_among_others_is_no_outage(self) -> None:
        # The connection of a read stalls until its timeout of 1.5 s, while watches are
        # sent and answered.
        availability = StoreAvailability()
        availability.record_response(100.0, 100.0)
        for sent_at in (100.6, 101.3):
            availability.record_response(sent_at, sent_at)
        availability.record_failure(100.5)
        self.assertFalse(availability.is_recovering(102.0))
        availability.record_response(102.0, 102.0)
        self.assertFalse(availability.is_recovering(102.0))

    def test_an_outage_that_ends_before_a_call_fails_is_detected(self) -> None:
        # The store answers no calls from 100.0 to 101.3. A read sent at 100.8 has not
        # yet failed when a list is answered.
        availability = StoreAvailability()
        availability.record_response(100.0, 100.0)
        availability.record_sent(100.8)
        availability.record_sent(101.5)
        availability.record_response(101.5, 101.5)
        self.assertTrue(availability.is_recovering(101.5))

    def test_an_outage_is_detected_by_a_call_that_fails_after_it(self) -> None:
        """Guards against entries removed after an outage in which a list was lost."""
        availability = StoreAvailability()
        availability.record_response(100.0, 100.0)
        availability.record_sent(101.0)
        for sent_at in (101.3, 101.6, 102.0, 102.4):
            availability.record_response(sent_at, sent_at)
        self.assertFalse(availability.is_recovering(101.5))
        availability.record_failure(101.0)
        availability.record_response(102.5, 102.5)
        self.assertTrue(availability.is_recovering(102.5))
        self.assertFalse(availability.is_recovering(103.6))

    def test_a_call_accepted_from_another_process_is_no_outage(self) -> None:
        """Guards against a connection that was silent and passes for an outage."""
        availability = StoreAvailability()
        availability.record_response(100.0, 100.0)
        availability.record_sent(101.0)
        availability.record_response(101.3, 101.3)
        # What another process reports at 101.9.
        availability.record_response(100.7, 100.7)
        availability.record_failure(101.0)
        availability.record_response(102.5, 102.5)
        self.assertFalse(availability.is_recovering(102.5))

    def test_a_call_lost_long_after_a_gap_is_no_outage(self) -> None:
        """Guards against gaps that are kept: two calls a second apart are usual."""
        availability = StoreAvailability()
        for sent_at in (100.0, 101.1, 102.0, 102.4):
            availability.record_response(sent_at, sent_at)
        availability.record_failure(102.2)
        availability.record_response(102.6, 102.6)
        self.assertFalse(availability.is_recovering(102.6))

    def test_gaps_are_kept_for_as_long_as_a_call_takes(self) -> None:
        """Guards against a list of gaps that grows for as long as a process runs."""
        availability = StoreAvailability()
        for number in range(1000):
            sent_at = 100.0 + 1.1 * number
            availability.record_response(sent_at, sent_at)
        started_at = 100.0
        availability.record_failure(started_at + 0.5)
        self.assertFalse(availability.is_recovering(started_at + 1.2))

    def test_a_read_pending_during_an_outage_reveals_it(self) -> None:
        availability = StoreAvailability()
        availability.record_response(100.0, 100.0)
        availability.record_sent(100.2)
        self.assertFalse(availability.is_recovering(100.9))
        self.assertTrue(availability.is_recovering(101.2))
        availability.record_response(100.2, 101.3)
        self.assertTrue(availability.is_recovering(101.4))

    def test_a_read_pending_during_a_pause_is_no_outage(self) -> None:
        availability = StoreAvailability()
        availability.record_response(100.0, 100.0)
        availability.record_sent(100.5)
        availability.record_pause(104.5, 4.0)
        self.assertFalse(availability.is_recovering(105.4))
        availability.record_sent(104.6)
        availability.record_response(104.6, 104.9)
        self.assertFalse(availability.is_recovering(104.9))

    def test_a_watch_that_ends_in_an_outage_does_not_hide_it(self) -> None:
        # A store that accepts no call still ends an open watch.
        availability = StoreAvailability()
        availability.record_response(100.0, 100.0)
        availability.record_failure(100.5)
        availability.record_response(99.5, 99.5)
        availability.record_response(101.5, 101.5)
        self.assertTrue(availability.is_recovering(101.5))

    def test_entries_that_expire_before_the_first_response_may_return(self) -> None:
        # A watch that survived the outage reports them before another call is accepted.
        availability = StoreAvailability()
        availability.record_response(100.0, 100.0)
        availability.record_failure(100.5)
        self.assertFalse(availability.is_recovering(100.9))
        self.assertTrue(availability.is_recovering(101.1))

    def test_a_slow_store_is_not_unavailable(self) -> None:
        # Each response takes 0.3 s, and each read follows the previous one after 0.9 s.
        availability = StoreAvailability()
        for sent_at in (100.0, 101.2, 102.4, 103.6):
            availability.record_sent(sent_at)
            self.assertFalse(availability.is_recovering(sent_at + 0.3))
            availability.record_response(sent_at, sent_at + 0.3)
            self.assertFalse(availability.is_recovering(sent_at + 0.3))

    def test_a_suspended_gateway_assumes_no_outage(self) -> None:
        # The gateway is suspended from 100.5 to 104.5, with a read in flight. The read
        # times out when the gateway resumes; the next one is answered. Another call
        # fails because the store closed its connection meanwhile.
        availability = StoreAvailability()
        availability.record_response(100.4, 100.4)
        availability.record_pause(104.5, 4.0)
        availability.record_failure(100.5)
        availability.record_failure(104.6)
        availability.record_response(104.8, 104.8)
        self.assertFalse(availability.is_recovering(104.8))

    def test_a_pause_does_not_hide_an_outage(self) -> None:
        # The store is unavailable from 100.0 to 106.0, and the gateway is paused
        # meanwhile.
        availability = StoreAvailability()
        availability.record_response(100.0, 100.0)
        availability.record_failure(100.5)
        availability.record_pause(105.0, 4.0)
        availability.record_failure(105.1)
        availability.record_response(106.0, 106.0)
        self.assertTrue(availability.is_recovering(106.0))

    def test_an_outage_that_starts_after_a_pause_is_detected(self) -> None:
        # A call is answered before the gateway records its pause.
        availability = StoreAvailability()
        availability.record_response(104.4, 104.4)
        availability.record_pause(104.5, 4.0)
        availability.record_failure(104.6)
        availability.record_response(105.7, 105.7)
        self.assertTrue(availability.is_recovering(105.7))


class MonitoredStoreTests(unittest.IsolatedAsyncioTestCase):
    async def call_store(self, **answers: object) -> StoreAvailability:
        """Call watch and list at 103.5, after a call accepted at 100.0."""
        availability = StoreAvailability()
        availability.record_response(100.0, 100.0)
        module = "bamboopier_proxy.monitored_store.read_clock"
        store = MonitoredStore(mock.AsyncMock(**answers), availability)
        with mock.patch(module, return_value=103.5):
            await store.watch_values("t/", 7, 2.0)
            await store.list("t/")
        return availability

    async def test_a_failed_watch_is_no_sign_of_an_outage(self) -> None:
        failed = Err(PlatformUnavailableError("no answer"))
        listing = Ok(Listing(9, ()))
        availability = await self.call_store(
            **{"watch_values.return_value": failed, "list.return_value": listing}
        )
        self.assertFalse(availability.is_recovering(103.5))

    async def test_a_failed_list_is_a_sign_of_an_outage(self) -> None:
        failed = Err(PlatformUnavailableError("status 503"))
        availability = await self.call_store(
            **{"watch_values.return_value": failed, "list.return_value": failed}
        )
        self.assertTrue(availability.is_recovering(103.5))

    async def test_an_unreadable_list_is_no_sign_of_an_outage(self) -> None:
        """Guards against a target that left and is kept as after an outage."""
        listing = Ok(Listing(9, ()))
        for error in (MalformedObjectError("page"), ResponseTooLargeError("page")):
            with self.subTest(error):
                availability = StoreAvailability()
                availability.record_response(100.0, 100.0)
                inner = mock.AsyncMock(**{"list.side_effect": [Err(error), listing]})
                store = MonitoredStore(inner, availability)
                module = "bamboopier_proxy.monitored_store.read_clock"
                with mock.patch(module, side_effect=[101.0, 101.0, 103.5, 103.5]):
                    await store.list("t/")
                    await store.list("t/")
                self.assertFalse(availability.is_recovering(103.5))

    async def test_checks_without_the_history_do_not_hide_an_outage(self) -> None:
        """Guards against targets that get no requests after a short outage.

        Their entries expired, and the store dropped its history. The checks after its
        recovery are answered with that, until the list lost in the outage has failed.
        """
        availability = StoreAvailability()
        availability.record_response(100.0, 100.0)
        availability.record_sent(101.0)
        gap = Err(WatchGapError("7"))
        inner = mock.AsyncMock(
            **{
                "watch_values.return_value": gap,
                "list.return_value": Ok(Listing(9, ())),
            }
        )
        store = MonitoredStore(inner, availability)
        module = "bamboopier_proxy.monitored_store.read_clock"
        times = (101.3, 101.3, 101.6, 101.6, 102.0, 102.0, 102.4, 102.4)
        with mock.patch(module, side_effect=times):
            for _ in range(4):
                await store.watch_values("t/", 7, 0.05)
        availability.record_failure(101.0)
        with mock.patch(module, side_effect=(102.5, 102.5)):
            await store.list("t/")
        self.assertTrue(availability.is_recovering(102.5))

    async def test_a_check_without_the_history_is_no_sign_of_an_outage(self) -> None:
        """Guards against the same after the store has dropped its history."""
        availability = StoreAvailability()
        availability.record_response(100.0, 100.0)
        gap = Err(WatchGapError("7"))
        listing = Ok(Listing(9, ()))
        inner = mock.AsyncMock(
            **{"watch_values.return_value": gap, "list.return_value": listing}
        )
        store = MonitoredStore(inner, availability)
        module = "bamboopier_proxy.monitored_store.read_clock"
        with mock.patch(module, side_effect=[101.0, 101.0, 103.5, 103.5]):
            await store.watch_values("t/", 7, 0.05)
            await store.list("t/")
        self.assertFalse(availability.is_recovering(103.5))


if __name__ == "__main__":
    unittest.main()
