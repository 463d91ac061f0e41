"""Every agent computes the same store VMs, in different data centres."""

from __future__ import annotations

import unittest

from bamboopier_decisions.context.placement import StoreVm, list_read_vms, place_block

VMS = [StoreVm(f"store-{n}", f"10.0.0.{n}:1", f"dc-{n % 3}") for n in range(6)]
KEYS = [bytes([n % 256, n >> 8]) * 16 for n in range(300)]


class PlacementTests(unittest.TestCase):
    def test_replicas_lie_in_different_data_centres(self) -> None:
        for key in KEYS:
            owners = place_block(key, VMS, 3)
            self.assertEqual(len({vm.data_centre for vm in owners}), 3)
            self.assertEqual(place_block(key, VMS[::-1], 3), owners)
        one_data_centre = [StoreVm(vm.name, vm.address, "dc") for vm in VMS]
        self.assertEqual(len(place_block(KEYS[0], one_data_centre, 3)), 3)

    def test_the_nearest_replica_is_read_first(self) -> None:
        for key in KEYS:
            sources = list_read_vms(key, VMS, (), 3, "dc-2")
            self.assertEqual(sources[0].data_centre, "dc-2")

    def test_a_leaving_vm_moves_its_share_and_a_new_one_finds_the_former(self) -> None:
        rest = VMS[1:]
        moved = 0
        for key in KEYS:
            before, after = place_block(key, VMS, 1), place_block(key, rest, 1)
            moved += before != after
            self.assertTrue(before == after or before == [VMS[0]])
            # store-0 returns without blocks: the block is still on ``after``.
            self.assertIn(after[0], list_read_vms(key, VMS, rest, 1, "dc-0"))
        self.assertLess(moved, len(KEYS) / 3)
