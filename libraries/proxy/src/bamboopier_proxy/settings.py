"""Settings of the gateway and agent processes."""

from __future__ import annotations

import socket

import msgspec

from bamboopier_decisions.forwarding.shared_retry_budget import RetryBudgetLimits
from bamboopier_decisions.rollouts.schedule import Allowance

# Longest watch that the platform's store accepts, with some room.
MAX_WATCH_SECONDS = 25.0
# Longest duration of a watch as a share of the history that the store keeps.
WATCH_SHARE = 0.75

MAX_PORT = 65535


class Endpoint(msgspec.Struct, frozen=True):
    """An IP address and a TCP or UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def is_endpoint(host: str, port: int) -> bool:
    """Return whether these are an IPv4 address and a port.

    Sockets of this system are of that family; a name would have to be looked up.
    """
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return 0 < port <= MAX_PORT


class ProxySettings(msgspec.Struct, frozen=True):
    """Settings of one process. Times are in seconds."""

    vm: str
    data_centre: str
    region: str
    host: str
    # Address on which callers connect; None for an agent.
    callers: Endpoint | None
    # Address for the load balancer's readiness probes; None for an agent.
    readiness: Endpoint | None
    # Address on which metrics are served.
    metrics: Endpoint
    # First port of the range for messages between processes of this system.
    first_port: int
    # Address of an agent's target; None for a gateway.
    target: Endpoint | None
    target_service: str
    # A request with a key may be forwarded for this long after the configuration was
    # last confirmed; None for no limit.
    key_seconds: float | None
    # From the acknowledgement of a configuration until it must be in force.
    in_force_seconds: float
    # From SIGTERM to SIGKILL.
    grace_seconds: float
    # From the publication of a weight version until older ones expire.
    version_seconds: float
    # Without a renewal, after which another agent may acquire the lease on a target.
    lease_seconds: float
    retries: RetryBudgetLimits
    memory_bytes: int
    # Share of a service's requests that a bad software version may get while it is
    # rolled out; None where operators order no roll-outs.
    # How many requests a bad version of a roll-out may get; None without roll-outs.
    rollout_allowance: Allowance | None = None
    # The whole system starts for the first time: no request was sent before.
    first_start: bool = False
    # File descriptors that the process may have open.
    max_descriptors: int = 4096
    # For which the platform's store keeps its changes.
    history_seconds: float = 20.0

    @property
    def watch_seconds(self) -> float:
        """Return the longest duration of a watch.

        One that is still open when the history before it is dropped ends without a
        result, and the list has to be read again.
        """
        return min(MAX_WATCH_SECONDS, self.history_seconds * WATCH_SHARE)
