"""What is written of when weights were named, and what a late hearer reads of it."""

from __future__ import annotations

import random
import unittest
from unittest import mock

import msgspec
from result import Err, Ok

from bamboopier_decisions.forwarding.weight_versions import WeightVersions
from bamboopier_objects.errors import VersionConflictError
from bamboopier_objects.objects import ABSENT, StoredObject
from bamboopier_proxy.weight_ages import CLOCK_ERROR_SECONDS, NamedAt, WeightAges

KEY = "ages/m/2"
# Of the steady clock and of the time of day.
NOW, TODAY = 100.0, 1_000_000.0


class WeightAgesTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        module = "bamboopier_proxy.weight_ages"
        self.enterContext(mock.patch(f"{module}.read_clock", return_value=NOW))
        self.enterContext(mock.patch(f"{module}.time.time", return_value=TODAY))
        self.enterContext(mock.patch(f"{module}.SPREAD_SECONDS", 0.0))
        self.enterContext(mock.patch(f"{module}.log"))
        self.store = mock.AsyncMock()
        self.weights = WeightVersions(12.0)
        self.ages = WeightAges(self.store, "ages/", self.weights, random.Random(1))

    async def name(self, since: float) -> None:
        """Hear of version 2, named at ``since`` at the earliest."""
        self.weights.name("m", 2, since)
        self.ages.note_named("m", 2, since)
        await self.ages.finish()

    def let_others_have_written(self, age: float) -> None:
        """Let the entry stand, written for ``age`` seconds ago."""
        value = msgspec.json.encode(NamedAt(TODAY - age))
        self.store.write.return_value = Err(VersionConflictError(KEY, ABSENT, 5))
        self.store.read.return_value = Ok(StoredObject(KEY, 5, value))

    async def test_the_earliest_time_is_written_not_that_of_hearing(self) -> None:
        # A gateway that stood still is the only one left, and one that starts later
        # goes by what it wrote.
        self.store.write.return_value = Ok(5)
        await self.name(NOW - 3.3)
        key, value, version = self.store.write.call_args.args
        self.assertEqual((key, version), (KEY, ABSENT))
        written = msgspec.json.decode(value, type=NamedAt)
        self.assertAlmostEqual(written.seconds, TODAY - 3.3)

    async def test_who_knows_little_reads_what_others_wrote(self) -> None:
        self.let_others_have_written(age=1.0)
        await self.name(NOW - 9.0)
        since = self.weights.find_since("m")
        self.assertAlmostEqual(since, NOW - 1.0 - CLOCK_ERROR_SECONDS)

    async def test_who_heard_at_once_asks_nobody(self) -> None:
        self.let_others_have_written(age=1.0)
        await self.name(NOW)
        self.store.read.assert_not_called()
        self.assertEqual(self.weights.find_since("m"), NOW)


if __name__ == "__main__":
    unittest.main()
