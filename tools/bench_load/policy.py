"""The decisions that a run simulates: interfaces and their factories."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from bamboopier_decisions.admission.messages import (
        AdmissionDecision,
        AdmissionEvent,
    )
    from bamboopier_decisions.routing.messages import RoutingDecision, RoutingEvent


class AdmissionInterface(Protocol):
    """Interface of an agent's admission decisions that the simulation uses."""

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        ...

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        ...

    @property
    def limit(self) -> int:
        """Return the maximum number of running requests."""
        ...

    @property
    def prefill_rate(self) -> float:
        """Return the prefill rate in prompt tokens per second; 0 if unknown."""
        ...

    @property
    def accepting(self) -> bool:
        """Return whether new requests are accepted."""
        ...

    def estimate_delay(self) -> float:
        """Return the expected seconds until a new request would start."""
        ...

    def handle(self, event: AdmissionEvent) -> list[AdmissionDecision]:
        """Apply one event and return the resulting decisions."""
        ...


class RouterInterface(Protocol):
    """Interface of a gateway's routing decisions that the simulation uses."""

    def handle(self, event: RoutingEvent) -> RoutingDecision | None:
        """Apply one event and return the resulting decision, if any."""
        ...

    def abandon(self, request_id: str) -> None:
        """Discard a request whose caller has disconnected."""
        ...


@dataclass(frozen=True, slots=True)
class Policy:
    """Factories of the admission and routing decisions of a run."""

    name: str
    make_admission: Callable[[Random], AdmissionInterface]
    make_router: Callable[[Random], RouterInterface]
