"""Computes the store VMs of a block from its key, identically on every agent.

Load pattern: store VMs fail and are replaced, and whole data centres leave. With both
replicas in one data centre its loss takes both; with a directory of blocks, the loss of
the directory would take every block.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..routing.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class StoreVm:
    """A VM that stores blocks."""

    name: str
    address: str
    data_centre: str = ""


def place_block(key: bytes, vms: Sequence[StoreVm], replicas: int) -> list[StoreVm]:
    """Return the VMs to write to: one in each data centre first, then any others."""
    by_name = {vm.name: vm for vm in vms}
    ranked = [by_name[name] for name in rank(key, by_name, len(by_name))]
    chosen: list[StoreVm] = []
    used: set[str] = set()
    for vm in ranked:
        if vm.data_centre not in used:
            chosen.append(vm)
            used.add(vm.data_centre)
    chosen += [vm for vm in ranked if vm not in chosen]
    return chosen[:replicas]


def list_read_vms(
    key: bytes,
    vms: Sequence[StoreVm],
    former_vms: Sequence[StoreVm],
    replicas: int,
    data_centre: str,
) -> list[StoreVm]:
    """Return the VMs to read from, nearest first, former owners last.

    A VM that joins takes over a share of the keys without their blocks; until they have
    been written again, they are still on the former owner.
    """
    owners = place_block(key, vms, replicas)
    owners.sort(key=lambda vm: vm.data_centre != data_centre)
    alive = set(vms)
    former = place_block(key, former_vms, replicas)
    return owners + [vm for vm in former if vm in alive and vm not in owners]
