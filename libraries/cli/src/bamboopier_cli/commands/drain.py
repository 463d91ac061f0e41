"""``bamboopier drain``: take a data centre or a target out of service."""

from __future__ import annotations

import asyncio

from ..output import render
from ..publishing import fail_if_nodes_behind, set_drained


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
    result = asyncio.run(
        set_drained(platform, place, name, drained=True, wait=wait, timeout=timeout)
    )
    fail_if_nodes_behind(result)
    if not result.changed:
        text = f"{place} {name} was drained already (generation {result.generation})"
    else:
        text = f"{place} {name} drained by generation {result.generation}"
    return render(result, text, json)
