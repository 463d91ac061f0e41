"""The platform's list of VMs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Literal, Protocol

import msgspec

if TYPE_CHECKING:
    from result import Result

    from .errors import PlatformError


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


@dataclass(frozen=True, slots=True)
class VmListResponse:
    """An answer of the VM list; ``vms`` is None when nothing changed since ``tag``."""

    vms: tuple[Vm, ...] | None
    # The list's entity tag, empty when the platform gives none.
    tag: str
    # Bytes that came over the network.
    size: int


class VmListSource(Protocol):
    """Names the VMs that may exist; it lags behind the truth."""

    async def list_vms(self) -> Result[list[Vm], PlatformError]:
        """Return all VMs the platform lists now."""
        ...

    async def list_vms_since(self, tag: str) -> Result[VmListResponse, PlatformError]:
        """Return the VMs unless the list still has the entity tag ``tag``."""
        ...
