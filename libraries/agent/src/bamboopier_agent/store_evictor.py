"""Frees space on a full store VM, using only the VM's own list of blocks."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from result import Err

from bamboopier_decisions.context.eviction import choose_evictions

if TYPE_CHECKING:
    from bamboopier_decisions.context.block_name import BlockName
    from bamboopier_decisions.context.placement import StoreVm

    from .store_link import StoreLink

# Names chosen from one list. Together with the minimum interval between lists this
# limits the calls to a full VM: for each writer one list in ten seconds, and one delete
# for each block.
EVICTION_BATCH_SIZE = 16
MIN_LIST_INTERVAL_SECONDS = 10.0


class StoreEvictor:
    """Deletes the blocks that the eviction policy chooses, on all VMs of an agent."""

    def __init__(self, link: StoreLink) -> None:
        self._link = link
        # Names chosen and not yet deleted, and when the list was read, by VM name.
        self._victims: dict[str, list[str]] = {}
        self._listed_at: dict[str, float] = {}

    async def free_space(self, vm: StoreVm, writer: BlockName) -> bool:
        """Delete one block for ``writer``; return False if none could be deleted.

        Other agents may delete at the same time; each then frees a block. A block that
        is deleted while it is read fails the reader's verification.
        """
        if not self._victims.get(vm.name):
            await self._choose_victims(vm, writer)
        victims = self._victims.get(vm.name)
        if not victims:
            return False
        victim = victims.pop(0)
        result = await self._link.store.delete(vm.address, victim)
        self._link.record_call(
            vm, result.err_value if isinstance(result, Err) else None
        )
        return not isinstance(result, Err)

    async def _choose_victims(self, vm: StoreVm, writer: BlockName) -> None:
        now = time.monotonic()
        if (
            now - self._listed_at.get(vm.name, -MIN_LIST_INTERVAL_SECONDS)
            < MIN_LIST_INTERVAL_SECONDS
        ):
            return
        self._listed_at[vm.name] = now
        result = await self._link.store.list_names(vm.address)
        if isinstance(result, Err):
            self._link.record_call(vm, result.err_value)
            return
        self._victims[vm.name] = choose_evictions(
            result.ok_value, self._link.view.shares, writer.tag, EVICTION_BATCH_SIZE
        )
