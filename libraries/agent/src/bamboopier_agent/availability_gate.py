"""Opens and closes the admission gate of the target.

The gate is closed while the process shuts down, while the target or its data centre is
drained, while the VM list marks the VM as leaving, and while weights are loaded.
"""

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
    """Tracks why the target is unavailable and reports each change to the gate.

    Requests that are queued when the gate closes are rejected as not run, so that
    gateways send them elsewhere at once. Running requests continue.
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
        """Apply the drains of a new configuration generation."""
        drains = directory.configuration.drains
        drained_set = DrainedSet(
            frozenset(drains.data_centres), frozenset(drains.targets)
        )
        self._drained = drained_set.contains(
            self._settings.target, self._settings.data_centre
        )
        self._update()

    def apply_vms(self, inventory: VmInventory) -> None:
        """Apply the state that a VM list gives for this VM."""
        vm = inventory.find(self._settings.vm)
        listed = {vm.name: vm.state != "live"} if vm is not None else {}
        if listed:
            self._leaving = bool(self._leaving_vms.update(time.monotonic(), listed))
        self._update()

    def set_loading(self, loading: bool) -> None:
        """Close the gate while weights are loaded; reopen it afterwards."""
        self._loading = loading
        self._update()

    def shut_down(self) -> None:
        """Close the gate permanently."""
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
            "target availability changed",
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
