"""The platform's list of VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Literal, Protocol

import msgspec
from result import Ok

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from result import Result

    from .errors import PlatformError

# The list is read this often by each process while the fleet is small, and as often as
# keeps all processes together below the second figure when it is large: 1,070 nodes
# read it every 3.6 s. A VM that leaves gets no new work that long after it is listed.
POLL_SECONDS = 1.0
LISTS_PER_SECOND = 300


class Vm(msgspec.Struct, frozen=True):
    """One live or leaving VM, as the platform last knew it."""

    name: str
    role: Literal["gateway", "target", "store"]
    data_centre: str
    region: str
    # Where this VM's own process answers: an agent's gRPC port, a store's HTTP port.
    address: str
    state: Literal["live", "leaving"] = "live"
    # The service a target belongs to, or the store a store VM belongs to.
    group: str = ""


class VmList(Protocol):
    """Names the VMs that may exist; it lags behind the truth."""

    async def list_vms(self) -> Result[list[Vm], PlatformError]:
        """Return all VMs the platform lists now."""
        ...


class VmBoard:
    """The last VM list seen, from the platform or, before that, from a peer."""

    def __init__(self, random: random.Random) -> None:
        self._random = random
        self._readers: list[Callable[[VmBoard], None]] = []
        self._read = False
        self.vms: tuple[Vm, ...] = ()

    @property
    def nodes(self) -> int:
        """Return how many processes follow the configuration and this list."""
        return max(1, sum(vm.role != "store" for vm in self.vms))

    def tell(self, reader: Callable[[VmBoard], None]) -> None:
        """Call ``reader`` with each list that arrives, changed or not."""
        self._readers.append(reader)

    def find(self, name: str) -> Vm | None:
        """Return the VM of this name, or None when it is not listed."""
        return next((vm for vm in self.vms if vm.name == name), None)

    def list_agents(self) -> list[str]:
        """Return the addresses of the agents listed."""
        return [vm.address for vm in self.vms if vm.role == "target"]

    def encode(self) -> bytes:
        """Return the list for a peer, empty when none was seen."""
        return msgspec.json.encode(self.vms) if self.vms else b""

    def learn(self, encoded: bytes) -> None:
        """Take a peer's list while the platform has not answered this process yet."""
        if encoded and not self._read:
            self._show(tuple(msgspec.json.decode(encoded, type=list[Vm])))

    async def run(self, source: VmList) -> None:
        """Poll until cancelled; an outage keeps the last list."""
        while True:
            answer = await source.list_vms()
            if isinstance(answer, Ok):
                self._read = True
                self._show(tuple(answer.ok_value))
            seconds = max(POLL_SECONDS, self.nodes / LISTS_PER_SECOND)
            await asyncio.sleep(self._random.uniform(0.8, 1.2) * seconds)

    def _show(self, vms: tuple[Vm, ...]) -> None:
        self.vms = vms
        for reader in self._readers:
            reader(self)
