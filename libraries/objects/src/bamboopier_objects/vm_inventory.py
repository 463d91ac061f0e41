"""Holds the last VM list that a process received."""

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

# Subscribers are called this often even when the list has not changed, since some
# depend on how long a VM has been listed in a state.
NOTIFY_SECONDS = 5.0


class VmInventory:
    """The last list from the platform or, before the first one, from a peer."""

    def __init__(self, random: random.Random) -> None:
        self._random = random
        self._subscribers: list[Callable[[VmInventory], None]] = []
        self._has_platform_list = False
        self.vms: tuple[Vm, ...] = ()

    @property
    def has_list(self) -> bool:
        """Return whether a list was received; before that no VM can be used."""
        return bool(self.vms)

    @property
    def node_count(self) -> int:
        """Return the number of processes that follow configuration and VM list."""
        return max(1, sum(vm.role != "store" for vm in self.vms))

    def subscribe(self, subscriber: Callable[[VmInventory], None]) -> None:
        """Call ``subscriber`` with each list, and repeatedly while it is unchanged."""
        self._subscribers.append(subscriber)

    def find(self, name: str) -> Vm | None:
        """Return the VM of this name, or None when it is not listed."""
        return next((vm for vm in self.vms if vm.name == name), None)

    def list_agent_addresses(self) -> list[str]:
        """Return the addresses of the listed agents."""
        return [vm.address for vm in self.vms if vm.role == "target"]

    def encode(self) -> bytes:
        """Return the list encoded for a peer; empty before the first one."""
        return msgspec.json.encode(self.vms) if self.vms else b""

    def apply_peer_list(self, encoded: bytes) -> None:
        """Apply a peer's list until the platform's own list has been received.

        A list that cannot be decoded is dropped: a faulty peer must not end this
        process.
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
