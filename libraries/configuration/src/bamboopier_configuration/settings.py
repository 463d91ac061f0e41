"""A process's own settings: its addresses, its data centre, its limits."""

from __future__ import annotations

from ipaddress import ip_address
from typing import Annotated

import msgspec

from .model import Name, Seconds

Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://[^/?#@\s]+/?$")]
Secret = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
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

    vm: Name
    data_centre: Name
    region: Name
    listen: Address
    admin: Address
    platform_url: Url
    # Key, in hex, from which the workspaces' block secrets are derived.
    block_secret: Secret
    max_connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 10_000
    # A request's headers and its body must have arrived after this time.
    header_timeout_seconds: Seconds = 10.0
    body_timeout_seconds: Seconds = 60.0
    # A connection without a request is closed after this time.
    idle_timeout_seconds: Seconds = 75.0
    # A caller that takes no byte of its answer for this time is given up.
    write_timeout_seconds: Seconds = 30.0
    shutdown_timeout_seconds: Seconds = 600.0
    seed: int = 0
    # TLS on the callers' side; without it callers speak plain HTTP.
    caller_tls: CallerTls | None = None
    # Mutual TLS between our processes and towards platform and target.
    tls: Tls | None = None
    # Without certificates, only loopback addresses are used unless this is set.
    allow_plain: bool = False


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one agent process and the target beside it."""

    vm: Name
    target: Name
    service: Name
    data_centre: Name
    region: Name
    listen: Address
    admin: Address
    target_url: Url
    platform_url: Url
    block_secret: Secret
    # Requests the target runs at once when it is warm; the limit starts below.
    max_running: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 32
    max_waiting: Annotated[int, msgspec.Meta(ge=0, le=65_536)] = 64
    shutdown_timeout_seconds: Seconds = 600.0
    # Memory for answers kept for repeated idempotency keys.
    kept_answer_bytes: Annotated[int, msgspec.Meta(ge=0)] = 32 * 1024 * 1024
    # Mutual TLS between our processes and towards platform and target.
    tls: Tls | None = None
    # Without certificates, only loopback addresses are used unless this is set.
    allow_plain: bool = False
