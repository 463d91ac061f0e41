"""Settings of a proxy gateway and of a proxy agent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.shared_retry_budget import RetryBudgetLimits


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An IP number and a TCP or UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class ProxySettings:
    """Settings of one process. Times are in seconds."""

    vm: str
    data_centre: str
    region: str
    host: str
    # Where callers connect; None on an agent.
    callers: Endpoint | None
    # Where the balancer asks whether new connections may come; None on an agent.
    readiness: Endpoint | None
    # Where metrics are served.
    metrics: Endpoint
    # Ports for the system's own messages.
    first_port: int
    # The target beside an agent.
    target: Endpoint | None
    target_service: str
    # A request with a key may be passed on for so long after the configuration was
    # last proved current; None for no such bound.
    key_seconds: float | None
    # From SIGTERM to SIGKILL.
    grace_seconds: float
    # From the naming of weights until older ones may serve no more.
    version_seconds: float
    # For which a holder of a target's orders must be silent before another gives one.
    lease_seconds: float
    retries: RetryBudgetLimits
    memory_bytes: int
