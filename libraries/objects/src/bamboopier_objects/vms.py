"""The platform's list of VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Literal, Protocol

import msgspec

if TYPE_CHECKING:
    from result import Result

    from .errors import PlatformError


class Vm(msgspec.Struct, frozen=True):
    """One live or leaving VM, as the platform lists it."""

    name: str
    role: Literal["gateway", "target", "store"]
    data_centre: str
    region: str
    # Where this VM's own process listens: an agent's gRPC port, a store's HTTP port.
    address: str
    state: Literal["live", "leaving"] = "live"
    # The service a target belongs to, or the store a store VM belongs to.
    group: str = ""


@dataclass(frozen=True, slots=True)
class VmListResponse:
    """A response with the VM list; ``vms`` is None if unchanged since ``tag``."""

    vms: tuple[Vm, ...] | None
    # Entity tag of the list, empty when the platform sends none.
    tag: str
    # Bytes received over the network.
    size: int


class VmListSource(Protocol):
    """Lists the VMs; the list may lag behind the actual state."""

    async def list_vms(self) -> Result[list[Vm], PlatformError]:
        """Return all VMs that the platform lists."""
        ...

    async def list_vms_since(self, tag: str) -> Result[VmListResponse, PlatformError]:
        """Return the VMs unless the list still has the entity tag ``tag``."""
        ...
