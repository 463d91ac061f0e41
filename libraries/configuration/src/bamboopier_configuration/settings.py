"""A process's own settings: its addresses, its data centre, its limits."""

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
    """An IP number and a TCP port; port 0 takes any free one."""

    host: str
    port: Port

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    @property
    def is_loopback(self) -> bool:
        """Say whether only this very machine can connect here."""
        return ip_address(self.host).is_loopback


class Tls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificate files in PEM form; relative names start at the working directory."""

    certificate: FilePath
    key: FilePath
    # Certificates that may have signed a peer's certificate.
    authority: FilePath


class CallerTls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The certificate that callers see, in PEM files."""

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
    # Agents (host:port) to ask for the configuration while the platform is away.
    peers: list[str] = []
    # Callers' connections; one more is refused at once.
    max_connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 10_000
    # Bytes of request bodies that all open requests may hold together.
    max_held_body_bytes: Annotated[int, msgspec.Meta(ge=64 * 1024)] = 256 * 1024 * 1024
    # A request's headers must have arrived this long after their first byte.
    header_timeout_seconds: Seconds = 10.0
    # The body must have arrived this long after the headers.
    body_timeout_seconds: Seconds = 60.0
    # A connection without a request is closed after this time.
    idle_timeout_seconds: Seconds = 75.0
    # A caller that takes no byte of its answer for this time is given up.
    write_timeout_seconds: Seconds = 30.0
    # Requests still open this long after SIGTERM are cut.
    shutdown_timeout_seconds: Seconds = 600.0
    # Fixed start of the random choices, for tests.
    seed: int = 0
    # TLS on the callers' side; without it callers speak plain HTTP.
    caller_tls: CallerTls | None = None
    # Mutual TLS between our processes and towards platform and target.
    tls: Tls | None = None
    # Without certificates, only loopback addresses are used unless this is set.
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
    # The target that this agent alone reaches.
    target_url: Url
    platform_url: Url
    # Key, in hex, from which the workspaces' block secrets are derived; the same in
    # all gateways and agents.
    block_secret: Secret
    # Agents (host:port) to ask for the configuration while the platform is away.
    peers: list[str] = []
    # Requests the target runs at once when it is warm; the limit starts below.
    max_running: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 32
    # Requests that may wait here for their turn.
    max_waiting: Annotated[int, msgspec.Meta(ge=0, le=65_536)] = 64
    # Requests still open this long after SIGTERM are cut.
    shutdown_timeout_seconds: Seconds = 600.0
    # Memory for answers kept for repeated idempotency keys.
    kept_answer_bytes: Annotated[int, msgspec.Meta(ge=0)] = 32 * 1024 * 1024
    # DNS name that a gateway's certificate holds.
    gateway_name: Annotated[str, msgspec.Meta(min_length=1)] = "gateway.bamboopier"
    # Mutual TLS between our processes and towards platform and target.
    tls: Tls | None = None
    # Without certificates, only loopback addresses are used unless this is set.
    allow_plain: bool = False
