"""The last VM list that a process has seen."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from .vm_follower import VmListFollower
from .vms import Vm

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from .vms import VmListSource

# Readers that weigh how long a VM has been listed in a state are told this often even
# when the list has not changed.
NOTIFY_SECONDS = 5.0


class VmInventory:
    """Shows the last list, from the platform or, before that, from a peer."""

    def __init__(self, random: random.Random) -> None:
        self._random = random
        self._subscribers: list[Callable[[VmInventory], None]] = []
        self._has_platform_list = False
        self.vms: tuple[Vm, ...] = ()

    @property
    def has_list(self) -> bool:
        """Say whether any list has been seen; before that no VM can be used."""
        return bool(self.vms)

    @property
    def node_count(self) -> int:
        """Return how many processes follow the configuration and this list."""
        return max(1, sum(vm.role != "store" for vm in self.vms))

    def subscribe(self, subscriber: Callable[[VmInventory], None]) -> None:
        """Call ``subscriber`` with each list, and again while it stays the same."""
        self._subscribers.append(subscriber)

    def find(self, name: str) -> Vm | None:
        """Return the VM of this name, or None when it is not listed."""
        return next((vm for vm in self.vms if vm.name == name), None)

    def list_agent_addresses(self) -> list[str]:
        """Return the addresses of the agents listed."""
        return [vm.address for vm in self.vms if vm.role == "target"]

    def encode(self) -> bytes:
        """Return the list for a peer, empty when none was seen."""
        return msgspec.json.encode(self.vms) if self.vms else b""

    def apply_peer_list(self, encoded: bytes) -> None:
        """Take a peer's list while the platform has not answered this process yet.

        A list that cannot be read is dropped: an odd peer must not end this process.
        """
        if not encoded or self._has_platform_list:
            return
        try:
            vms = msgspec.json.decode(encoded, type=list[Vm])
        except msgspec.MsgspecError:
            return
        self._set_list(tuple(vms))

    async def run(self, source: VmListSource) -> None:
        """Follow the platform's list until cancelled."""
        follower = VmListFollower(source, self._apply_platform_list, self._random)
        async with asyncio.TaskGroup() as group:
            group.create_task(follower.run())
            while True:
                await asyncio.sleep(NOTIFY_SECONDS)
                self._set_list(self.vms)

    def _apply_platform_list(self, vms: tuple[Vm, ...]) -> None:
        self._has_platform_list = True
        self._set_list(vms)

    def _set_list(self, vms: tuple[Vm, ...]) -> None:
        self.vms = vms
        for subscriber in self._subscribers:
            subscriber(self)
