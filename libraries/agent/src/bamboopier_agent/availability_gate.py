"""Opens and closes the gate to the target as drains, the VM list and loads say."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

from bamboopier_decisions.admission.messages import ResumeRequested, StopRequested
from bamboopier_decisions.membership.availability import (
    TargetAvailability,
    UnavailableReason,
)
from bamboopier_decisions.membership.fleet_view import DrainedSet
from bamboopier_decisions.membership.leaving import LeavingVmTracker

if TYPE_CHECKING:
    from bamboopier_configuration.directory import Directory
    from bamboopier_configuration.settings import AgentSettings
    from bamboopier_objects.vm_inventory import VmInventory

    from .gate import AdmissionGate

log = structlog.get_logger()


class AvailabilityGate:
    """Collects what may keep new work away; tells the gate of each change.

    What waits at the gate when it closes is turned away as not run, so that gateways
    send it elsewhere at once; what runs goes on.
    """

    def __init__(self, settings: AgentSettings, gate: AdmissionGate) -> None:
        self._settings = settings
        self._gate = gate
        self._leaving_vms = LeavingVmTracker()
        self._shutting_down = False
        self._drained = False
        self._leaving = False
        self._loading = False
        self.unavailable_reason: UnavailableReason | None = None

    def apply_configuration(self, directory: Directory) -> None:
        """Take the drains of a new generation."""
        drains = directory.configuration.drains
        drained_set = DrainedSet(
            frozenset(drains.data_centres), frozenset(drains.targets)
        )
        self._drained = drained_set.contains(
            self._settings.target, self._settings.data_centre
        )
        self._update()

    def apply_vms(self, inventory: VmInventory) -> None:
        """Take this VM's own state from a VM list."""
        vm = inventory.find(self._settings.vm)
        listed = {vm.name: vm.state != "live"} if vm is not None else {}
        if listed:
            self._leaving = bool(self._leaving_vms.update(time.monotonic(), listed))
        self._update()

    def set_loading(self, loading: bool) -> None:
        """Close while weights are being swapped."""
        self._loading = loading
        self._update()

    def shut_down(self) -> None:
        """Close for good."""
        self._shutting_down = True
        self._update()

    def _update(self) -> None:
        availability = TargetAvailability(
            self._shutting_down, self._drained, self._leaving, self._loading
        )
        unavailable_reason = availability.find_unavailable_reason()
        if unavailable_reason == self.unavailable_reason:
            return
        self.unavailable_reason = unavailable_reason
        log.info(
            "target standing changed",
            target=self._settings.target,
            reason=unavailable_reason.value
            if unavailable_reason is not None
            else "open",
            running=self._gate.admission.running,
        )
        now = time.monotonic()
        self._gate.handle(
            StopRequested(now) if unavailable_reason else ResumeRequested(now)
        )
