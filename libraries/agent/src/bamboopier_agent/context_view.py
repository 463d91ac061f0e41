"""The settings of a target's context store, from the configuration and the VM list."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import lru_cache
from typing import TYPE_CHECKING

from bamboopier_decisions.context.block_name import derive_workspace_tag
from bamboopier_decisions.context.fetch_choice import (
    FIRST_TOKEN_WEIGHTS,
    PRESETS,
    CostWeights,
)
from bamboopier_decisions.context.placement import StoreVm

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from bamboopier_configuration.directory import Directory
    from bamboopier_objects.vms import Vm

DEFAULT_LINK_BYTES_PER_SECOND = 125_000_000
DEFAULT_BLOCK_TOKENS = 2000

get_workspace_tag = lru_cache(maxsize=65_536)(derive_workspace_tag)


@dataclass(frozen=True, slots=True)
class ContextView:
    """Store VMs, link budget and cost weights in force for one target."""

    store_vms: tuple[StoreVm, ...] = ()
    replicas: int = 1
    data_centre: str = ""
    cost_weights: CostWeights = FIRST_TOKEN_WEIGHTS
    link_bytes_per_second: float = DEFAULT_LINK_BYTES_PER_SECOND
    # Tokens per block, by model name.
    block_tokens: Mapping[str, int] = field(default_factory=dict)
    # Weight of the workspace's share of a store, by workspace tag.
    shares: Mapping[str, float] = field(default_factory=dict)


def build_view(
    directory: Directory,
    vms: Iterable[Vm],
    service_name: str,
    data_centre: str,
    block_secret: bytes,
) -> ContextView:
    """Return the view for the targets of a service; the default if it has no store."""
    service = directory.services.get(service_name)
    if service is None or service.store is None:
        return ContextView()
    store = directory.stores[service.store]
    return ContextView(
        store_vms=tuple(
            StoreVm(vm.name, vm.address, vm.data_centre)
            for vm in vms
            if vm.role == "store" and vm.group == store.name and vm.state == "live"
        ),
        replicas=store.replicas,
        data_centre=data_centre,
        cost_weights=PRESETS[service.preset],
        link_bytes_per_second=store.link_bytes_per_second,
        block_tokens={m.name: m.block_tokens for m in directory.models.values()},
        shares={
            get_workspace_tag(block_secret, workspace.name): workspace.weight
            for workspace in directory.workspaces.values()
        },
    )
