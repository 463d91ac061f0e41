"""Follows the VM list within a bandwidth budget.

At the design size the list has some 1,150 VMs and 160 KB. Polled in full each second it
would cost a gateway seven times the 22 KB/s that it may use for all control traffic.
Two things bound it: the entity tag of the last response, with which an unchanged list
costs a few hundred bytes, and a delay after each full response that grows with its
size, which keeps the budget even when the platform does not support entity tags.
Nothing urgent depends on this list: drains come with the configuration, and the failure
of a target shows on its connection.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from .vms import Vm, VmListSource

# A leaving VM should be noticed within a few seconds. With 1,070 nodes this is 360
# reads a second of the platform's two thousand, nearly all with an empty response.
POLL_SECONDS = 3.0
# Average bytes a second of full responses: a third of a node's 22 KB/s.
BUDGET_BYTES = 7000.0
# Relative jitter of the delay, so that nodes that start together spread their polls.
JITTER_SHARE = 0.2


class VmListFollower:
    """Polls the list and passes each changed one to ``apply``.

    The last list stays in use during an outage of the platform, which says nothing
    about the VMs.
    """

    def __init__(
        self,
        vms: VmListSource,
        apply: Callable[[tuple[Vm, ...]], None],
        random: random.Random,
    ) -> None:
        self._vms = vms
        self._apply = apply
        self._random = random
        self._tag = ""
        self._listed: tuple[Vm, ...] | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            size = await self.refresh()
            await asyncio.sleep(self.compute_delay(size))

    async def refresh(self) -> int:
        """Send one request; return the size of the response in bytes."""
        response = await self._vms.list_vms_since(self._tag)
        if not isinstance(response, Ok):
            return 0
        found = response.ok_value
        self._tag = found.tag
        if found.vms is not None and found.vms != self._listed:
            self._listed = found.vms
            self._apply(found.vms)
        return found.size

    def compute_delay(self, size: int) -> float:
        """Return the seconds until the next poll after a response of ``size`` bytes."""
        delay = max(POLL_SECONDS, size / BUDGET_BYTES)
        return delay * self._random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
