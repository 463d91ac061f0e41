"""Entries that one gateway writes, and that all read when they start."""

from __future__ import annotations

import time
import unittest
from typing import Any
from unittest import mock

import msgspec
from result import Err, Ok
from structlog.testing import capture_logs

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.version_history import (
    STREAM_SECONDS,
    VersionHistory,
)
from bamboopier_decisions.quarantine.quarantine import Crash, Quarantine
from bamboopier_objects.errors import PlatformUnavailableError, VersionConflictError
from bamboopier_objects.objects import Listing, StoredObject
from bamboopier_proxy.quarantine_records import QuarantineRecords
from bamboopier_proxy.stored_records import StoredRecords
from bamboopier_proxy.version_records import VersionRecords

PREFIX = "records/"
SERVICE, OLD, NEW = "desk", "v1", "v1.1"


class FakeStore:
    """Objects in memory; a write may be lost after it took effect."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[bytes, int]] = {}
        self.writes = 0
        self.loses_responses = False
        self.failing_lists = 0

    async def list(self, prefix: str) -> Any:
        if self.failing_lists > 0:
            self.failing_lists -= 1
            return Err(PlatformUnavailableError("down"))
        found = [StoredObject(k, v, data) for k, (data, v) in self.objects.items()]
        return Ok(Listing(1, tuple(found)))

    async def write(self, key: str, value: bytes, expected: int) -> Any:
        _, version = self.objects.get(key, (b"", 0))
        if version != expected:
            return Err(VersionConflictError(key, expected, version))
        self.writes += 1
        self.objects[key] = value, version + 1
        if self.loses_responses:
            return Err(PlatformUnavailableError("no response"))
        return Ok(version + 1)

    async def delete(self, key: str, expected: int) -> Any:
        del self.objects[key]
        return Ok(None)


class StoredRecordTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = FakeStore()
        self.registry = mock.Mock()
        self.registry.select_gateways.return_value = ["g-1"]
        self.registry.is_own.return_value = True

    def make_records(self) -> StoredRecords[int]:
        store: Any = self.store
        return StoredRecords(store, PREFIX, int, lambda a, b: a == b, self.registry)

    async def test_what_is_current_is_not_written_again(self) -> None:
        # Guards against calls to the store for entries that do not change.
        records = self.make_records()
        for value in (1, 1, 2, 2):
            await records.write("a", value)
        self.assertEqual(self.store.writes, 2)
        self.assertEqual(await self.make_records().read(), {"a": 2})

    async def test_one_gateway_writes(self) -> None:
        # Guards against a write of each gateway for each entry.
        self.registry.is_own.return_value = False
        records = self.make_records()
        await records.write("a", 1)
        self.assertEqual(self.store.writes, 0)

    async def test_a_write_without_a_response_is_made_good(self) -> None:
        # Guards against an entry that is never written again since its version is not
        # the one that was expected.
        records = self.make_records()
        self.store.loses_responses = True
        await records.write("a", 1)
        self.store.loses_responses = False
        for _ in range(2):
            await records.write("a", 2)
        self.assertEqual(await self.make_records().read(), {"a": 2})

    async def test_unreadable_entries_and_an_outage_do_no_harm(self) -> None:
        # Guards against a gateway that does not start because of one entry.
        self.store.objects = {f"{PREFIX}a": (b"1", 1), f"{PREFIX}b": (b"{", 1)}
        self.store.failing_lists = 1
        with (
            mock.patch("bamboopier_proxy.stored_records.RETRY_SECONDS", 0.0),
            capture_logs() as lines,
        ):
            self.assertEqual(await self.make_records().read(), {"a": 1})
        events = [line["event"] for line in lines]
        self.assertEqual(events, ["entries not read", "invalid entry ignored"])


class RestartTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store: Any = FakeStore()
        self.registry = mock.Mock()
        self.registry.select_gateways.return_value = ["g-1"]
        self.registry.is_own.return_value = True

    def make_quarantine(self) -> tuple[Quarantine, QuarantineRecords]:
        quarantine = Quarantine(3)
        return quarantine, QuarantineRecords(
            self.store, PREFIX, quarantine, self.registry
        )

    async def test_refused_requests_are_refused_after_a_restart(self) -> None:
        # Guards against three more crashes after all gateways lost power.
        quarantine, records = self.make_quarantine()
        now = read_clock()
        for number, target in enumerate("abc"):
            ended_at = now - 10 + number
            quarantine.record_crash(
                now, Crash(b"poison", target, ended_at - 0.1, ended_at)
            )
        await records.write()
        await records.write()
        self.assertEqual(self.store.writes, 1)
        restarted, read_records = self.make_quarantine()
        await read_records.read()
        self.assertAlmostEqual(
            restarted.find_wait(now, b"poison"),
            quarantine.find_wait(now, b"poison"),
            delta=1.0,
        )
        quarantine.record_completed(now, b"poison")
        await records.write()
        self.assertEqual(self.store.objects, {})

    async def test_expired_and_unreadable_entries_refuse_nothing(self) -> None:
        # Guards against an entry that refuses a request for good.
        past = msgspec.json.encode({"until": int((time.time() - 1) * 1000)})
        self.store.objects = {
            f"{PREFIX}{b'old'.hex()}": (past, 1),
            f"{PREFIX}zz": (past, 1),
        }
        quarantine, records = self.make_quarantine()
        await records.read()
        self.assertEqual(quarantine.list_refused(read_clock()), [])
        await records.write()
        self.assertEqual(self.store.objects, {})

    def make_history(self, listed: set[str]) -> tuple[VersionHistory, VersionRecords]:
        history = VersionHistory()
        records = VersionRecords(self.store, PREFIX, history, self.registry)
        history.record_list(read_clock(), float("-inf"))
        history.update(read_clock(), {SERVICE: listed})
        return history, records

    async def test_versions_are_known_after_a_restart(self) -> None:
        # Guards against streams of unknown origin that go on at the only version that
        # is listed after a restart, and against such that are refused though it has
        # been the only one for long.
        before, records = self.make_history({OLD})
        with mock.patch.object(
            before, "_complete_since", read_clock() - STREAM_SECONDS
        ):
            await records.write()
        for listed, recent in (({OLD}, {OLD}), ({NEW}, {OLD, NEW})):
            with self.subTest(listed=listed):
                history, started = self.make_history(listed)
                self.assertIsNone(history.find_recent(read_clock(), SERVICE, 0.5))
                await started.read()
                now = read_clock()
                history.update(now, {SERVICE: listed})
                self.assertEqual(history.find_recent(now, SERVICE, 0.5), recent)


if __name__ == "__main__":
    unittest.main()
