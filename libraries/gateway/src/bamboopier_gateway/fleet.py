"""Which targets this gateway may use: the VM list less what operators drained."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from result import Ok

from bamboopier_decisions.routing.messages import Distance, FleetChanged, TargetView

if TYPE_CHECKING:
    from collections.abc import Callable

    from bamboopier_configuration.directory import Directory
    from bamboopier_configuration.settings import GatewaySettings
    from bamboopier_platform.vms import Vm, VmList

POLL_SECONDS = 1.0


class Fleet:
    """Keeps the last VM list and tells the router of each change."""

    def __init__(
        self,
        settings: GatewaySettings,
        vms: VmList,
        apply: Callable[[FleetChanged], None],
    ) -> None:
        self._settings = settings
        self._vms = vms
        self._apply = apply
        self._directory: Directory | None = None
        self._listed: tuple[Vm, ...] = ()
        self._views: tuple[TargetView, ...] = ()
        self._addresses: dict[str, str] = {}

    def find_address(self, target: str) -> str:
        """Return the address of the agent beside ``target``."""
        return self._addresses[target]

    @property
    def addresses(self) -> set[str]:
        """Return the addresses of all listed agents."""
        return set(self._addresses.values())

    def apply_configuration(self, directory: Directory) -> None:
        """Take drains and services of a new generation."""
        self._directory = directory
        self._update()

    async def run(self) -> None:
        """Poll the VM list until cancelled; an outage keeps the last one."""
        while True:
            answer = await self._vms.list_vms()
            if isinstance(answer, Ok):
                self._listed = tuple(answer.ok_value)
                self._update()
            await asyncio.sleep(POLL_SECONDS)

    def _update(self) -> None:
        if self._directory is None:
            return
        drains = self._directory.configuration.drains
        targets = [vm for vm in self._listed if vm.role == "target"]
        self._addresses.update({vm.name: vm.address for vm in targets})
        views = tuple(
            TargetView(vm.name, vm.group, self._measure_distance(vm))
            for vm in targets
            if vm.state == "live"
            and vm.name not in drains.targets
            and vm.data_centre not in drains.data_centres
        )
        if views != self._views:
            self._views = views
            self._apply(FleetChanged(time.monotonic(), views))

    def _measure_distance(self, vm: Vm) -> Distance:
        if vm.data_centre == self._settings.data_centre:
            return Distance.SAME_DATA_CENTRE
        if vm.region == self._settings.region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
