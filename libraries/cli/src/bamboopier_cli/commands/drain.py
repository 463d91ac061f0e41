"""``bamboopier drain``: take a data centre or a target out of service."""

from __future__ import annotations

from ..draining import change_drain


def drain(
    place: str,
    name: str,
    *,
    platform: str,
    wait: bool = False,
    timeout: float = 30.0,
    json: bool = False,
) -> str:
    """Take a data centre or a target out of service.

    New requests are no longer sent there within seconds; running ones finish. PLACE is
    ``data-centre`` or ``target``. Concurrent drains all take effect.
    With --wait the command returns once all nodes have the drain in force, and fails
    with the names of those that do not after TIMEOUT seconds.
    """
    return change_drain(
        platform, place, name, drained=True, wait=wait, timeout=timeout, json=json
    )
