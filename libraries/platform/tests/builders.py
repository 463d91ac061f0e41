"""Builds fakes of the platform's interfaces."""

from __future__ import annotations

import hashlib

from result import Err, Ok, Result

from bamboopier_platform.errors import PlatformError, PlatformUnavailableError
from bamboopier_platform.vms import Vm, VmAnswer

BYTES_PER_VM = 145


def build_vm(name: str, state: str = "live") -> Vm:
    """Return a target VM."""
    return Vm(name, "target", "dc-1", "north", "10.0.0.1:7001", state)  # type: ignore[arg-type]


class VmListFake:
    """A list that can change, go away and withhold its entity tags."""

    def __init__(self, *vms: Vm) -> None:
        self.vms = vms
        self.down = False
        self.tags = True
        self.sizes: list[int] = []

    async def list_vms(self) -> Result[list[Vm], PlatformError]:
        return Ok(list(self.vms))

    async def list_vms_since(self, tag: str) -> Result[VmAnswer, PlatformError]:
        if self.down:
            return Err(PlatformUnavailableError("down"))
        current = hashlib.sha256(repr(self.vms).encode()).hexdigest()
        if not self.tags:
            current = ""
        if tag and tag == current:
            self.sizes.append(0)
            return Ok(VmAnswer(None, tag, 0))
        size = BYTES_PER_VM * len(self.vms)
        self.sizes.append(size)
        return Ok(VmAnswer(self.vms, current, size))
