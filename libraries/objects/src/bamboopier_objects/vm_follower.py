"""Follows the VM list within a budget of bytes.

At the design size the list is some 1,150 VMs and 160 KB. Polled whole each second it
would cost a gateway seven times the 22 KB/s it may spend on all control. Two things
bound it: the entity tag of the last answer, with which an unchanged list costs a few
hundred bytes, and a pause after each whole answer that grows with its size, which holds
the budget whatever the platform supports. What must be fast does not wait for this
list: drains come with the configuration, and a dead target shows on its connection.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Ok

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from .vms import Vm, VmListSource

# A leaving VM should be known in a few seconds; at 1,070 nodes this is 360 reads a
# second of the platform's two thousand, nearly all answered without a body.
POLL_SECONDS = 3.0
# Bytes a second that whole answers may cost on average: a third of a node's 22 KB/s.
BUDGET_BYTES = 7000.0
# Polls are spread by this share, so that a fleet started together drifts apart.
JITTER_SHARE = 0.2


class VmListFollower:
    """Polls the list and hands each changed one to ``apply``.

    An outage keeps the last list: the platform being down says nothing about the VMs.
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
        """Ask once; return the bytes that came."""
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
        """Return the seconds until the next poll after an answer of ``size`` bytes."""
        pause = max(POLL_SECONDS, size / BUDGET_BYTES)
        return pause * self._random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
