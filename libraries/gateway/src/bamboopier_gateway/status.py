"""The status that a gateway reports to operators' commands."""

from __future__ import annotations

import msgspec


class GatewayStatus(msgspec.Struct, frozen=True):
    """The response of ``/v1/status``; it names no workspace and no target."""

    generation: int
    ready: bool
    open_requests: int
