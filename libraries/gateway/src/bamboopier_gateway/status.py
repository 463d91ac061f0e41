"""What a gateway tells operators' commands of itself."""

from __future__ import annotations

import msgspec


class GatewayStatus(msgspec.Struct, frozen=True):
    """The answer of ``/v1/status``; it names no workspace and no target."""

    generation: int
    ready: bool
    open_requests: int
