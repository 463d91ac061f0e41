"""``bamboopier restore``: return a drained data centre or target to service."""

from __future__ import annotations

from ..draining import change_drain


def restore(
    place: str,
    name: str,
    *,
    platform: str,
    wait: bool = False,
    timeout: float = 30.0,
    json: bool = False,
) -> str:
    """Return a drained data centre or target to service.

    PLACE is ``data-centre`` or ``target``. Restored targets with a cold cache receive
    requests slowly at first.
    With --wait the command returns once all nodes have the change in force, and fails
    with the names of those that do not after TIMEOUT seconds.
    """
    return change_drain(
        platform, place, name, drained=False, wait=wait, timeout=timeout, json=json
    )
