"""``bamboopier restore``: return a drained data centre or target to service."""

from __future__ import annotations

import asyncio

from ..output import render
from ..publishing import fail_if_nodes_behind, set_drained


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
    result = asyncio.run(
        set_drained(platform, place, name, drained=False, wait=wait, timeout=timeout)
    )
    fail_if_nodes_behind(result)
    if not result.changed:
        text = f"{place} {name} was restored already (generation {result.generation})"
    else:
        text = f"{place} {name} restored by generation {result.generation}"
    return render(result, text, json)
