"""Settings of a process: its addresses, data centre and limits."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Annotated

import msgspec

from .model import Name, Seconds

Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://[^/?#@\s]+/?\Z")]
Secret = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]
FilePath = Annotated[str, msgspec.Meta(min_length=1)]


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An IP address and a TCP port; port 0 selects any free port."""

    host: str
    port: Port

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    @property
    def is_loopback(self) -> bool:
        """Return whether only the local machine can connect to this address."""
        return ip_address(self.host).is_loopback


class Tls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificate files in PEM format; relative to the working directory."""

    certificate: FilePath
    key: FilePath
    # Certificates of the authorities that may have signed a peer's certificate.
    authority: FilePath


class CallerTls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The certificate for callers' connections, in PEM files."""

    certificate: FilePath
    key: FilePath


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one gateway process."""

    # Name of the VM in the platform's list.
    vm: Name
    data_centre: Name
    region: Name
    # Where callers (at a gateway) or gateways (at an agent) connect.
    listen: Address
    # Where /healthz, /readyz and /metrics are served, always in plain HTTP.
    admin: Address
    platform_url: Url
    # Key, in hex, from which the workspaces' block secrets are derived; the same in
    # all gateways and agents.
    block_secret: Secret
    # Agents (host:port) that serve the configuration while the platform is unavailable.
    peers: list[str] = []
    # Limit of callers' connections. For a further one, the one that brings least is
    # closed; if all have a request in progress, the further one is refused.
    max_connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1000
    # Total bytes of the request bodies of all open requests.
    max_held_body_bytes: Annotated[int, msgspec.Meta(ge=64 * 1024)] = 16 * 1024 * 1024
    # Total bytes of the headers of all open requests, as they are held in memory.
    max_held_head_bytes: Annotated[int, msgspec.Meta(ge=64 * 1024)] = 8 * 1024 * 1024
    # Total bytes of responses that callers have not read; the oldest are cut above it.
    max_unread_response_bytes: Annotated[int, msgspec.Meta(ge=64 * 1024)] = (
        8 * 1024 * 1024
    )
    # Time limit for a request's headers, from their first byte.
    header_timeout_seconds: Seconds = 10.0
    # Time limit for the body, from the end of the headers.
    body_timeout_seconds: Seconds = 60.0
    # Time after which a connection without a request is closed.
    idle_timeout_seconds: Seconds = 75.0
    # Time without progress of a response after which the caller is disconnected.
    write_timeout_seconds: Seconds = 30.0
    # Time after SIGTERM at which requests that are still open are cancelled.
    shutdown_timeout_seconds: Seconds = 600.0
    # Seed of the random choices, for tests.
    seed: int = 0
    # TLS for callers' connections; without it callers use plain HTTP.
    caller_tls: CallerTls | None = None
    # Mutual TLS between processes of this system and to platform and target.
    tls: Tls | None = None
    # Whether addresses other than loopback may be used without certificates.
    allow_plain: bool = False


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one agent process and the target beside it."""

    # Name of the VM in the platform's list.
    vm: Name
    # Name of the target in logs, drains and leases.
    target: Name
    # Service that the target belongs to.
    service: Name
    data_centre: Name
    region: Name
    # Where callers (at a gateway) or gateways (at an agent) connect.
    listen: Address
    # Where /healthz, /readyz and /metrics are served, always in plain HTTP.
    admin: Address
    # URL of the target, which only this agent calls.
    target_url: Url
    platform_url: Url
    # Key, in hex, from which the workspaces' block secrets are derived; the same in
    # all gateways and agents.
    block_secret: Secret
    # Agents (host:port) that serve the configuration while the platform is unavailable.
    peers: list[str] = []
    # Requests that a warm target runs concurrently; the limit starts below this.
    max_running: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 32
    # Requests that may wait in the queue of this agent.
    max_waiting: Annotated[int, msgspec.Meta(ge=0, le=65_536)] = 64
    # Time after SIGTERM at which requests that are still open are cancelled.
    shutdown_timeout_seconds: Seconds = 600.0
    # Memory in bytes for responses stored for repeated idempotency keys.
    kept_answer_bytes: Annotated[int, msgspec.Meta(ge=0)] = 32 * 1024 * 1024
    # DNS name in the certificates of gateways.
    gateway_name: Annotated[str, msgspec.Meta(min_length=1)] = "gateway.bamboopier"
    # Mutual TLS between processes of this system and to platform and target.
    tls: Tls | None = None
    # Whether addresses other than loopback may be used without certificates.
    allow_plain: bool = False
