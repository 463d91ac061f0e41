"""Tracks the targets this gateway may use: the VM list without drained targets."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from bamboopier_decisions.membership.fleet_view import (
    DrainedSet,
    FleetView,
    ListedTarget,
)
from bamboopier_decisions.membership.versions import ModelVersions
from bamboopier_decisions.routing.messages import Distance, FleetChanged, TargetView

from .target_reports import TargetReports

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from bamboopier_configuration.directory import Directory
    from bamboopier_configuration.model import Model, Service
    from bamboopier_configuration.settings import GatewaySettings
    from bamboopier_objects.vm_inventory import VmInventory
    from bamboopier_objects.vms import Vm

    from .agent_connections import AgentConnections


class Fleet:
    """Reports each change of the VM list and of the drains to the router."""

    def __init__(
        self,
        settings: GatewaySettings,
        vms: VmInventory,
        agents: AgentConnections,
        handle_change: Callable[[FleetChanged], None],
        random: random.Random,
    ) -> None:
        self._settings = settings
        self._vms = vms
        self._agents = agents
        self._handle_change = handle_change
        self._directory: Directory | None = None
        self._view = FleetView()
        self._views: tuple[TargetView, ...] = ()
        self._addresses: dict[str, str] = {}
        self._random = random
        self._versions: dict[str, ModelVersions] = {}
        self.reports = TargetReports()
        vms.subscribe(lambda _: self._update())

    def find_address(self, target: str) -> str:
        """Return the address of the agent beside ``target``."""
        return self._addresses[target]

    def apply_configuration(self, directory: Directory) -> None:
        """Apply the drains and services of a new configuration generation."""
        self._directory = directory
        now = time.monotonic()
        for model in directory.models.values():
            versions = self._versions.setdefault(
                model.name, ModelVersions(now, model.version)
            )
            services = _list_services(directory, model)
            reported = self._list_reported_versions(services)
            versions.configure(now, model.version, reported)
        self._update()

    def choose_version(self, model: Model) -> str:
        """Return the weight version to request for a new call to ``model``."""
        versions = self._versions.get(model.name)
        if versions is None or self._directory is None:
            return model.version
        services = _list_services(self._directory, model)
        reported = self._list_reported_versions(services)
        unreported = sum(self.reports.count_unreported(s.name) for s in services)
        max_loads = max((service.loads_at_once for service in services), default=1)
        now = time.monotonic()
        return versions.choose(now, reported, unreported, max_loads, self._random)

    def _list_reported_versions(self, services: Iterable[Service]) -> list[str]:
        """Return the weight version of each accepting target."""
        return [v for s in services for v in self.reports.list_versions(s.name)]

    def _update(self) -> None:
        if self._directory is None:
            return
        targets = [vm for vm in self._vms.vms if vm.role == "target"]
        self._addresses = {vm.name: vm.address for vm in targets}
        self._agents.keep_only(set(self._addresses.values()))
        drains = self._directory.configuration.drains
        drained = DrainedSet(frozenset(drains.data_centres), frozenset(drains.targets))
        now = time.monotonic()
        listed = [
            ListedTarget(v.name, v.data_centre, v.state != "live") for v in targets
        ]
        usable = self._view.select(now, listed, drained)
        views = tuple(
            TargetView(vm.name, vm.group, self._measure_distance(vm))
            for vm in targets
            if vm.name in usable
        )
        self.reports.set_targets(views, _list_configured_versions(self._directory))
        if views != self._views:
            self._views = views
            self._handle_change(FleetChanged(now, views))

    def _measure_distance(self, vm: Vm) -> Distance:
        if vm.data_centre == self._settings.data_centre:
            return Distance.SAME_DATA_CENTRE
        if vm.region == self._settings.region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION


def _list_services(directory: Directory, model: Model) -> list[Service]:
    """Return the services that offer a model."""
    return [s for s in directory.services.values() if model.name in s.models]


def _list_configured_versions(directory: Directory) -> dict[str, frozenset[str]]:
    """Return the configured weight versions by service."""
    models = directory.models
    return {
        service.name: frozenset(models[name].version for name in service.models)
        for service in directory.services.values()
    }
