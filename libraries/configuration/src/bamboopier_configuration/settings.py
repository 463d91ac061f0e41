"""A process's own settings: its addresses, its data centre, its limits."""

from __future__ import annotations

from typing import Annotated

import msgspec

from .model import Name, Seconds

Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]


class Address(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An IP number and a TCP port."""

    host: str
    port: Port

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class GatewaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one gateway process."""

    vm: Name
    data_centre: Name
    region: Name
    listen: Address
    admin: Address
    platform_url: str
    # Key, in hex, from which the workspaces' block secrets are derived.
    block_secret: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
    # Agents (host:port) to ask for the configuration while the platform is away.
    peers: list[str] = []
    max_connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 10_000
    header_timeout_seconds: Seconds = 10.0
    write_timeout_seconds: Seconds = 30.0
    shutdown_timeout_seconds: Seconds = 600.0
    seed: int = 0


class AgentSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one agent process and the target beside it."""

    vm: Name
    target: Name
    service: Name
    data_centre: Name
    region: Name
    listen: Address
    admin: Address
    target_url: str
    platform_url: str
    block_secret: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
    # Agents (host:port) to ask for the configuration while the platform is away.
    peers: list[str] = []
    # Requests the target runs at once when it is warm; the limit starts below.
    max_running: Annotated[int, msgspec.Meta(ge=1, le=4096)] = 32
    max_waiting: Annotated[int, msgspec.Meta(ge=0, le=65_536)] = 64
    shutdown_timeout_seconds: Seconds = 600.0
    # Memory for answers kept for repeated idempotency keys.
    kept_answer_bytes: Annotated[int, msgspec.Meta(ge=0)] = 32 * 1024 * 1024
