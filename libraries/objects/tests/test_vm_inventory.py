"""The VM list of a process before and after the first response of the platform."""

from __future__ import annotations

import asyncio
import random
import unittest

import msgspec

from bamboopier_objects.vm_inventory import VmInventory

from .builders import VmListSourceFake, build_vm


class VmInventoryTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_peers_list_is_used_until_the_platform_responds(self) -> None:
        """A gateway starts in an outage; a peer sends invalid data, then an older list.

        Guards against invalid data that ends the process, and against a peer's list
        that replaces the one of the platform.
        """
        inventory = VmInventory(random.Random(1))
        shown = asyncio.Event()
        inventory.subscribe(lambda _: shown.set())
        for garbage in (b"", b"{", b'[{"name": 3}]'):
            inventory.apply_peer_list(garbage)
        self.assertEqual((inventory.vms, shown.is_set()), ((), False))
        inventory.apply_peer_list(msgspec.json.encode([build_vm("old")]))
        self.assertEqual(inventory.list_agent_addresses(), [build_vm("old").address])
        shown.clear()
        task = asyncio.create_task(inventory.run(VmListSourceFake(build_vm("new"))))
        await shown.wait()
        inventory.apply_peer_list(msgspec.json.encode([build_vm("old")]))
        self.assertIsNotNone(inventory.find("new"))
        self.assertIsNone(inventory.find("old"))
        task.cancel()
