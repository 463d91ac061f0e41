"""Makes room on a full store VM, with no knowledge but the VM's own list."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from result import Err

from bamboopier_decisions.context.eviction import choose_evictions

if TYPE_CHECKING:
    from bamboopier_decisions.context.block_name import BlockName
    from bamboopier_decisions.context.placement import StoreVm

    from .store_link import StoreLink

# Names chosen from one list. With the least seconds between lists this bounds the
# calls: a full VM costs each writer one list in ten seconds and a delete a block.
BATCH = 16
LIST_SECONDS = 10.0


class StoreEvictor:
    """Deletes what the policy names; one instance serves all VMs of an agent."""

    def __init__(self, link: StoreLink) -> None:
        self._link = link
        # Chosen and not yet deleted, and when the list was read, by VM name.
        self._chosen: dict[str, list[str]] = {}
        self._listed_at: dict[str, float] = {}

    async def make_room(self, vm: StoreVm, writer: BlockName) -> bool:
        """Delete one block for ``writer``; False when there is nothing to delete now.

        Another agent may delete at the same moment: both then free a block, and a
        block freed under a reader fails that reader's proof.
        """
        if not self._chosen.get(vm.name):
            await self._choose(vm, writer)
        chosen = self._chosen.get(vm.name)
        if not chosen:
            return False
        victim = chosen.pop(0)
        answer = await self._link.store.delete(vm.address, victim)
        self._link.note_call(vm, answer.err_value if isinstance(answer, Err) else None)
        return not isinstance(answer, Err)

    async def _choose(self, vm: StoreVm, writer: BlockName) -> None:
        now = time.monotonic()
        if now - self._listed_at.get(vm.name, -LIST_SECONDS) < LIST_SECONDS:
            return
        self._listed_at[vm.name] = now
        answer = await self._link.store.list_names(vm.address)
        if isinstance(answer, Err):
            self._link.note_call(vm, answer.err_value)
            return
        self._chosen[vm.name] = choose_evictions(
            answer.ok_value, self._link.view.shares, writer.tag, BATCH
        )
