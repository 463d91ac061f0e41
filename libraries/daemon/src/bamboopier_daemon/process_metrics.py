"""Metrics of every daemon: its identity, readiness and configuration generation."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from prometheus_client import Gauge

if TYPE_CHECKING:
    from collections.abc import Callable

    from prometheus_client import CollectorRegistry


class ProcessIdentity(Protocol):
    """The settings that identify a process and its location."""

    @property
    def vm(self) -> str:
        """Return the VM's name."""
        ...

    @property
    def data_centre(self) -> str:
        """Return the data centre's name."""
        ...

    @property
    def region(self) -> str:
        """Return the region's name."""
        ...


def add_process_metrics(
    registry: CollectorRegistry,
    role: str,
    identity: ProcessIdentity,
    is_ready: Callable[[], bool],
    read_generation: Callable[[], int],
) -> None:
    """Add the metrics to ``registry``; both functions are called at each scrape."""
    process = Gauge(
        "bamboopier_process",
        "Always 1; joins the other metrics with role, VM, data centre and region",
        ["role", "vm", "data_centre", "region"],
        registry=registry,
    )
    process.labels(role, identity.vm, identity.data_centre, identity.region).set(1)
    ready = Gauge(
        "bamboopier_ready",
        "1 while new work may be sent here, as /readyz says",
        registry=registry,
    )
    ready.set_function(lambda: float(is_ready()))
    generation = Gauge(
        "bamboopier_configuration_generation",
        "Generation of the configuration in force here",
        registry=registry,
    )
    generation.set_function(lambda: float(read_generation()))
