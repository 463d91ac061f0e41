"""What a process knows of the VMs before and after the platform has answered."""

from __future__ import annotations

import asyncio
import random
import unittest

import msgspec

from bamboopier_objects.vm_inventory import VmInventory

from .builders import VmListSourceFake, build_vm


class VmInventoryTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_peers_list_serves_until_the_platform_answers(self) -> None:
        """A gateway starts in an outage; a peer sends garbage, then an older list.

        Garbage must not end the process, and the platform's own list wins for good.
        """
        board = VmInventory(random.Random(1))
        shown = asyncio.Event()
        board.subscribe(lambda _: shown.set())
        for garbage in (b"", b"{", b'[{"name": 3}]'):
            board.learn(garbage)
        self.assertEqual((board.vms, shown.is_set()), ((), False))
        board.learn(msgspec.json.encode([build_vm("old")]))
        self.assertEqual(board.list_agents(), [build_vm("old").address])
        shown.clear()
        task = asyncio.create_task(board.run(VmListSourceFake(build_vm("new"))))
        await shown.wait()
        board.learn(msgspec.json.encode([build_vm("old")]))
        self.assertIsNotNone(board.find("new"))
        self.assertIsNone(board.find("old"))
        task.cancel()
