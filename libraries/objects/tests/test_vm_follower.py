"""The VM list is followed within its budget and retained during outages."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

from bamboopier_objects.vm_follower import BUDGET_BYTES, JITTER_SHARE, VmListFollower

from .builders import VmListSourceFake, build_vm

if TYPE_CHECKING:
    from bamboopier_objects.vms import Vm

DESIGN_SIZE = 1143


class VmListFollowerTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.lists: list[tuple[Vm, ...]] = []
        self.fake = VmListSourceFake(*(build_vm(f"t-{n}") for n in range(DESIGN_SIZE)))
        self.follower = VmListFollower(self.fake, self.lists.append, random.Random(1))

    async def test_an_unchanged_list_has_no_body_and_is_applied_once(self) -> None:
        for _ in range(5):
            await self.follower.refresh()
        self.assertEqual(len(self.lists), 1)
        self.assertEqual(self.fake.sizes[1:], [0] * 4)

    async def test_without_entity_tags_the_budget_still_holds(self) -> None:
        # A platform that ignores entity tags sends 166 KB each time. At the usual poll
        # interval that is 55 KB/s, more than the total budget of a node, so the delay
        # must grow.
        self.fake.tags = False
        pauses = []
        for _ in range(200):
            size = await self.follower.refresh()
            pauses.append(self.follower.compute_delay(size))
        rate = sum(self.fake.sizes) / sum(pauses)
        self.assertLessEqual(rate, BUDGET_BYTES * (1 + JITTER_SHARE))

    async def test_an_outage_keeps_the_last_list(self) -> None:
        # Guards against an outage of the platform that is treated as an empty list:
        # every caller would be refused although all targets are available.
        await self.follower.refresh()
        self.fake.down = True
        await self.follower.refresh()
        self.fake.down = False
        self.fake.vms = (build_vm("t-1", "leaving"),)
        await self.follower.refresh()
        self.assertEqual([len(vms) for vms in self.lists], [DESIGN_SIZE, 1])
