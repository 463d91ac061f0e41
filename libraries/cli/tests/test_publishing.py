"""Tests of concurrent drains by several operators."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from bamboopier_cli.exit_codes import USAGE_ERROR, CommandError
from bamboopier_cli.publishing import change_drains
from bamboopier_objects.errors import PlatformError, VersionConflictError
from bamboopier_objects.generations import GenerationStore
from bamboopier_objects.objects import StoredObject
from bamboopier_objects.parts import HEAD_KEY
from bamboopier_objects.vms import Vm

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class PlatformFake:
    """Objects and a VM list; ``before_head`` runs once, before a head is written."""

    def __init__(self) -> None:
        self.stored: dict[str, StoredObject] = {}
        self.revision = 0
        self.before_head: Callable[[], Awaitable[object]] | None = None

    async def list_vms(self) -> Result[list[Vm], PlatformError]:
        places = [("desk-1", "dc-east"), ("desk-2", "dc-west")]
        return Ok([Vm(name, "target", dc, "midlands", "") for name, dc in places])

    async def read(self, key: str) -> Result[StoredObject | None, PlatformError]:
        return Ok(self.stored.get(key))

    async def write(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, PlatformError]:
        if key == HEAD_KEY and self.before_head is not None:
            hook, self.before_head = self.before_head, None
            await hook()
        found = self.stored[key].version if key in self.stored else 0
        if found != expected_version:
            return Err(VersionConflictError(key, expected_version, found))
        self.revision += 1
        self.stored[key] = StoredObject(key, self.revision, value)
        return Ok(self.revision)


class DrainTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.platform: Any = PlatformFake()

    async def read_drains(self) -> tuple[list[str], list[str]]:
        generation = (await GenerationStore(self.platform).read()).unwrap()
        drains = generation.configuration.drains
        return drains.data_centres, drains.targets

    async def test_a_drain_that_conflicts_is_retried(self) -> None:
        """A second operator drains a target just before the first one's write.

        Guards against losing either drain: without a retry the first operator's data
        centre stays in service, and overwriting restores the second one's target.
        """

        async def drain_concurrently() -> None:
            await change_drains(self.platform, "target", "desk-2", drained=True)

        self.platform.before_head = drain_concurrently
        drained = await change_drains(
            self.platform, "data-centre", "dc-east", drained=True
        )
        self.assertEqual((drained.generation, drained.changed), (2, True))
        self.assertEqual(await self.read_drains(), (["dc-east"], ["desk-2"]))
        repeated = await change_drains(
            self.platform, "data-centre", "dc-east", drained=True
        )
        self.assertEqual((repeated.generation, repeated.changed), (2, False))

    async def test_an_unknown_place_changes_nothing(self) -> None:
        cases = [("target", "desk-9", "desk-1, desk-2"), ("rack", "desk-1", "target")]
        for place, name, known in cases:
            with self.assertRaises(CommandError) as caught:
                await change_drains(self.platform, place, name, drained=True)
            self.assertEqual(caught.exception.status, USAGE_ERROR)
            self.assertIn(known, str(caught.exception))
        self.assertEqual(self.platform.stored, {})
