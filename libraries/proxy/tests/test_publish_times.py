"""Tests of writing publication times, and of reading them after a late receipt."""

from __future__ import annotations

import asyncio
import random
import unittest
from typing import TYPE_CHECKING
from unittest import mock

import msgspec
from result import Err, Ok

from bamboopier_decisions.forwarding.pause_tracker import PauseTracker
from bamboopier_decisions.forwarding.weight_versions import WeightVersions
from bamboopier_objects.errors import (
    PlatformUnavailableError,
    VersionConflictError,
)
from bamboopier_objects.objects import ABSENT, Listing, StoredObject
from bamboopier_proxy.observers import WeightsObserver
from bamboopier_proxy.publish_times import (
    CLOCK_ERROR_SECONDS,
    ENTRY_ERROR_SECONDS,
    PublishedAt,
    PublishTimes,
    follow_weights,
)
from bamboopier_proxy.store_schema import PublishedWeights

if TYPE_CHECKING:
    from result import Result

KEY = "ages/m/2"
# Times of the monotonic clock and of the wall clock.
NOW, TODAY = 100.0, 1_000_000.0


class PublishTimesTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        module = "bamboopier_proxy.publish_times"
        self.enterContext(mock.patch(f"{module}.read_clock", return_value=NOW))
        self.enterContext(mock.patch(f"{module}.time.time", return_value=TODAY))
        self.enterContext(mock.patch(f"{module}.WRITE_SPREAD_SECONDS", 0.0))
        self.enterContext(mock.patch(f"{module}.log"))
        self.store = mock.AsyncMock()
        self.weights = WeightVersions(12.0)
        self.publish_times = PublishTimes(
            self.store, "ages/", self.weights, random.Random(1)
        )

    async def receive(self, since: float) -> None:
        """Receive version 2, published at ``since`` at the earliest."""
        self.weights.record_published("m", 2, since)
        self.publish_times.record_published("m", 2, since)
        await self.publish_times.finish()

    def store_entry_of_others(self, age: float) -> None:
        """Store the entry of a publication ``age`` seconds ago."""
        value = msgspec.json.encode(PublishedAt(TODAY - age))
        self.store.write.return_value = Err(VersionConflictError(KEY, ABSENT, 5))
        listing = Listing(5, (StoredObject(KEY, 5, value),))
        self.store.list.return_value = Ok(listing)

    async def test_the_earliest_time_is_written_not_that_of_receipt(self) -> None:
        # A gateway that was paused is the only one left, and one that starts later
        # relies on the time it wrote.
        self.store.write.return_value = Ok(5)
        await self.receive(NOW - 3.3)
        key, value, version = self.store.write.call_args.args
        self.assertEqual((key, version), (KEY, ABSENT))
        written = msgspec.json.decode(value, type=PublishedAt)
        self.assertAlmostEqual(written.seconds, TODAY - 3.3)

    async def test_a_late_receiver_reads_the_time_others_wrote(self) -> None:
        self.store_entry_of_others(age=1.0)
        await self.receive(NOW - 9.0)
        since = self.weights.find_published_at("m")
        self.assertAlmostEqual(since, NOW - 1.0 - ENTRY_ERROR_SECONDS)

    async def test_a_guess_that_cannot_be_written_is_corrected_from_the_store(
        self,
    ) -> None:
        # A gateway was disconnected when weights were published, and assumes that they
        # were published when it reconnected. The store rejects its writes but answers
        # lists: others wrote that the weights are ten seconds old. Uncorrected, the
        # gateway serves callers with older weights for ten seconds longer than the
        # others.
        self.store_entry_of_others(age=10.0)
        unavailable = PlatformUnavailableError("busy")
        self.store.write.return_value = Err(unavailable)
        self.weights.record_published("m", 2, NOW, guessed=True)
        with mock.patch("bamboopier_proxy.publish_times.RETRY_SECONDS", 0.01):
            self.publish_times.record_published("m", 2, NOW)
            await self.publish_times.finish()
        self.assertLessEqual(self.weights.find_published_at("m"), NOW - 10.0)

    async def test_a_guess_is_written_as_a_guess(self) -> None:
        self.store.write.return_value = Ok(5)
        self.weights.record_published("m", 2, NOW, guessed=True)
        self.publish_times.record_published("m", 2, NOW)
        await self.publish_times.finish()
        value = self.store.write.call_args.args[1]
        self.assertTrue(msgspec.json.decode(value, type=PublishedAt).guessed)

    async def test_a_timely_receiver_reads_nothing(self) -> None:
        self.store_entry_of_others(age=1.0)
        await self.receive(NOW)
        self.store.list.assert_not_called()
        self.assertEqual(self.weights.find_published_at("m"), NOW)

    async def test_a_late_receiver_reads_all_versions_published_meanwhile(
        self,
    ) -> None:
        # Version 2 was published 10 s ago and version 3 one second ago; others wrote
        # both times. A gateway that receives only version 3, in a list after 15 s,
        # reads only the time of that version. Engines that have neither would then
        # serve callers until older weights expire for version 3, up to 15 s after
        # version 2 was published: 12 are allowed.
        publish_times = {2: 10.0, 3: 1.0}
        entries = {
            f"ages/m/{version}": StoredObject(
                f"ages/m/{version}", 5, msgspec.json.encode(PublishedAt(TODAY - age))
            )
            for version, age in publish_times.items()
        }
        self.store.write.return_value = Err(VersionConflictError("", ABSENT, 5))
        self.store.list.return_value = Ok(Listing(5, tuple(entries.values())))
        self.weights.record_published("m", 1, float("-inf"))
        self.weights.record_published("m", 3, NOW - 15.0)
        self.publish_times.record_published("m", 3, NOW - 15.0)
        await self.publish_times.finish()
        self.assertEqual(self.weights.find_oldest_allowed(NOW + 1.0, "m"), 2)

    async def test_weights_published_at_the_recovery_allow_older_ones(
        self,
    ) -> None:
        # The store is unavailable to all for ten seconds, and new weights are published
        # when it recovers. Every gateway was running and assumes that they are ten
        # seconds old; none received them sooner, so none wrote another time. All refuse
        # older weights at once, and callers get 503 until the first engines have
        # loaded: 1.9 s later with idle engines. Older weights may serve for 12 s while
        # the store is available.
        module = "bamboopier_proxy.observers"
        self.enterContext(mock.patch(f"{module}.read_clock", return_value=NOW))
        self.enterContext(mock.patch(f"{module}.log"))
        schema = mock.Mock(weights_prefix="v/")
        schema.decode_weights.side_effect = lambda _, value: Ok(
            PublishedWeights("m", int(value))
        )
        observer = WeightsObserver(
            schema,
            self.weights,
            PauseTracker(NOW),
            lambda named, since: self.publish_times.record_published(
                named.model, named.version, since
            ),
        )
        self.store.write.return_value = Ok(5)
        before = Listing(5, (StoredObject("v/m", 5, b"1"),))
        observer.apply_listing(before, 0.0, float("-inf"))
        after = Listing(9, (StoredObject("v/m", 9, b"2"),))
        observer.apply_listing(after, 10.0, NOW - 10.0)
        await self.publish_times.finish()
        self.assertEqual(self.weights.find_oldest_allowed(NOW + 1.0, "m"), 1)

    async def test_obsolete_entries_are_removed(self) -> None:
        # Weights are published for two years, and entries in the store do not expire. A
        # start would read thousands of entries. Of the obsolete ones, the newest still
        # says that older weights may not serve.
        publish_times = {1: 9000.0, 2: 8000.0, 3: 7000.0, 4: 60.0}
        entries = [
            StoredObject(
                f"ages/m/{version}",
                version,
                msgspec.json.encode(PublishedAt(TODAY - age)),
            )
            for version, age in publish_times.items()
        ]
        self.store.list.return_value = Ok(Listing(9, tuple(entries)))
        self.store.delete.return_value = Ok(None)
        await self.publish_times.clean_up()
        removed = [call.args for call in self.store.delete.call_args_list]
        self.assertEqual(removed, [("ages/m/1", 1), ("ages/m/2", 2)])

    async def test_removing_obsolete_entries_delays_no_start(self) -> None:
        # Weights were published 40 times in a day, and the store takes 0.3 s for a
        # call. A gateway starts, removes the obsolete entries one after the other, and
        # only then reads which weights are published: it is not ready for twelve
        # seconds. In this test the store answers no removal at all.
        publish_times = {
            version: 90_000.0 - 2000.0 * version for version in range(1, 41)
        }
        entries = [
            StoredObject(
                f"ages/m/{version}",
                version,
                msgspec.json.encode(PublishedAt(TODAY - age)),
            )
            for version, age in publish_times.items()
        ]
        self.store.list.return_value = Ok(Listing(50, tuple(entries)))

        async def answer_nothing(*_: object) -> None:
            await asyncio.sleep(3600)

        self.store.delete.side_effect = answer_nothing
        follower = mock.AsyncMock(loaded=asyncio.Event())
        task = asyncio.create_task(follow_weights(self.publish_times, follower))
        await asyncio.sleep(0.1)
        task.cancel()
        follower.run.assert_called_once_with()

    async def test_clock_errors_make_no_version_look_younger(self) -> None:
        # The clock of the machine that wrote an entry is three seconds ahead, that of
        # the reader three seconds behind: each has the maximum error. A gateway that
        # received the version late then assumes that weights published nine seconds ago
        # are six seconds old, and serves callers with older ones until 12.4 s after the
        # publication.
        self.store_entry_of_others(age=9.0 - 2 * CLOCK_ERROR_SECONDS)
        await self.receive(NOW - 9.2)
        self.assertLessEqual(self.weights.find_published_at("m"), NOW - 9.0)


class SharedPublishTimesTests(unittest.IsolatedAsyncioTestCase):
    """Gateways that write to one store."""

    def setUp(self) -> None:
        self.entries: dict[str, bytes] = {}
        self.store = mock.AsyncMock()
        self.store.write.side_effect = self.write
        self.store.list.side_effect = self.read_all
        for name in ("publish_times", "observers"):
            module = f"bamboopier_proxy.{name}"
            self.enterContext(mock.patch(f"{module}.read_clock", return_value=NOW))
            self.enterContext(mock.patch(f"{module}.log"))
        module = "bamboopier_proxy.publish_times"
        self.enterContext(mock.patch(f"{module}.time.time", return_value=TODAY))
        self.enterContext(mock.patch(f"{module}.WRITE_SPREAD_SECONDS", 0.05))

    async def write(
        self, key: str, value: bytes, _: int
    ) -> Result[int, VersionConflictError]:
        if key in self.entries:
            return Err(VersionConflictError(key, ABSENT, 5))
        self.entries[key] = value
        return Ok(5)

    async def read_all(self, _: str) -> Result[Listing, VersionConflictError]:
        found = (StoredObject(key, 5, value) for key, value in self.entries.items())
        return Ok(Listing(5, tuple(found)))

    async def receive_after_an_outage(
        self, seconds: float, *gateways: PauseTracker
    ) -> list[WeightVersions]:
        """Let gateways receive version 2 in a list, after an outage for all."""
        received, written = [], []
        schema = mock.Mock(weights_prefix="v/")
        schema.decode_weights.side_effect = lambda _, value: Ok(
            PublishedWeights("m", int(value))
        )
        for pauses in gateways:
            weights = WeightVersions(12.0)
            publish_times = PublishTimes(self.store, "ages/", weights, random.Random(1))

            def record(
                named: PublishedWeights, since: float, to: PublishTimes = publish_times
            ) -> None:
                to.record_published(named.model, named.version, since)

            observer = WeightsObserver(schema, weights, pauses, record)
            before = Listing(5, (StoredObject("v/m", 5, b"1"),))
            observer.apply_listing(before, 0.0, float("-inf"))
            after = Listing(9, (StoredObject("v/m", 9, b"2"),))
            observer.apply_listing(after, seconds, NOW - seconds)
            received.append(weights)
            written.append(publish_times.finish())
        await asyncio.gather(*written)
        return received

    async def test_a_pause_of_one_gateway_expires_no_weights_at_others(
        self,
    ) -> None:
        # The store is unavailable to all for five seconds; weights are published when
        # it recovers. The gateways that were running assume that they were published
        # now. One that was paused for 0.7 s assumes that they are five seconds old, and
        # writes first because that is a short time. The others read its entry, add six
        # seconds of clock error, and refuse older weights at once: their callers get
        # 503 until the first engines have loaded.
        paused = PauseTracker(NOW - 0.8)
        paused.record_tick(NOW - 0.1)
        ran = PauseTracker(NOW), PauseTracker(NOW)
        received = await self.receive_after_an_outage(5.0, *ran, paused)
        allowed = [w.find_oldest_allowed(NOW + 1.0, "m") for w in received]
        self.assertEqual(allowed, [1, 1, 1])


if __name__ == "__main__":
    unittest.main()
