"""Which targets this gateway may use: the VM list less what operators drained."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from bamboopier_decisions.membership.fleet_view import (
    DrainedPlaces,
    FleetView,
    ListedTarget,
)
from bamboopier_decisions.membership.versions import ModelVersions
from bamboopier_decisions.routing.messages import Distance, FleetChanged, TargetView

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from bamboopier_configuration.directory import Directory
    from bamboopier_configuration.model import Model
    from bamboopier_configuration.settings import GatewaySettings
    from bamboopier_platform.vm_board import VmBoard
    from bamboopier_platform.vms import Vm
    from bamboopier_protocol import agent_pb2 as pb

    from .agents import Agents


class Fleet:
    """Tells the router of each change of the VM list and of the drains."""

    def __init__(
        self,
        settings: GatewaySettings,
        vms: VmBoard,
        agents: Agents,
        apply: Callable[[FleetChanged], None],
        random: random.Random,
    ) -> None:
        self._settings = settings
        self._vms = vms
        self._agents = agents
        self._apply = apply
        self._directory: Directory | None = None
        self._view = FleetView()
        self._views: tuple[TargetView, ...] = ()
        self._addresses: dict[str, str] = {}
        self._random = random
        self._versions: dict[str, ModelVersions] = {}
        self._by_service: dict[str, list[str]] = {}
        # Configured weight versions by target.
        self._wanted: dict[str, frozenset[str]] = {}
        # The last report of each usable target, in the order they were last polled.
        self._reports: dict[str, pb.LoadReport | None] = {}
        vms.tell(lambda _: self._update())

    def find_address(self, target: str) -> str:
        """Return the address of the agent beside ``target``."""
        return self._addresses[target]

    def apply_configuration(self, directory: Directory) -> None:
        """Take drains and services of a new generation."""
        self._directory = directory
        now = time.monotonic()
        for model in directory.models.values():
            versions = self._versions.setdefault(
                model.name, ModelVersions(model.version)
            )
            versions.configure(now, model.version)
        self._update()

    def note(self, target: str, report: pb.LoadReport) -> None:
        """Take the version and the readiness that a target reports."""
        if target in self._reports:
            self._reports[target] = report

    def choose_version(self, model: Model) -> str:
        """Return the weight version that a new request for ``model`` is made for."""
        versions = self._versions.get(model.name)
        if versions is None or self._directory is None:
            return model.version
        services = [
            service
            for service in self._directory.services.values()
            if model.name in service.models
        ]
        reported = [
            report.weight_version
            for service in services
            for target in self._by_service.get(service.name, ())
            if (report := self._reports.get(target)) is not None
        ]
        at_once = max((service.loads_at_once for service in services), default=1)
        return versions.choose(time.monotonic(), reported, at_once, self._random)

    def find_next_waiting(self) -> str | None:
        """Return the usable target not polled for longest that gets no requests."""
        for target, report in self._reports.items():
            if report is None or self._is_waiting(target, report):
                self._reports[target] = self._reports.pop(target)
                return target
        return None

    def _is_waiting(self, target: str, report: pb.LoadReport) -> bool:
        if not report.accepting:
            return True
        return bool(report.weight_version) and (
            report.weight_version not in self._wanted.get(target, ())
        )

    def _update(self) -> None:
        if self._directory is None:
            return
        targets = [vm for vm in self._vms.vms if vm.role == "target"]
        self._addresses = {vm.name: vm.address for vm in targets}
        self._agents.keep_only(set(self._addresses.values()))
        drains = self._directory.configuration.drains
        drained = DrainedPlaces(
            frozenset(drains.data_centres), frozenset(drains.targets)
        )
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
        self._wanted = {view.target: self._find_wanted(view.service) for view in views}
        if views != self._views:
            self._views = views
            known = self._reports
            self._reports = {view.target: known.get(view.target) for view in views}
            self._by_service = {}
            for view in views:
                self._by_service.setdefault(view.service, []).append(view.target)
            self._apply(FleetChanged(now, views))

    def _find_wanted(self, service_name: str) -> frozenset[str]:
        directory = self._directory
        if directory is None or service_name not in directory.services:
            return frozenset()
        models = directory.services[service_name].models
        return frozenset(directory.models[name].version for name in models)

    def _measure_distance(self, vm: Vm) -> Distance:
        if vm.data_centre == self._settings.data_centre:
            return Distance.SAME_DATA_CENTRE
        if vm.region == self._settings.region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
