"""``bamboopier restore``: bring a drained data centre or target back."""

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
    """Bring a drained data centre or target back.

    PLACE is ``data-centre`` or ``target``. Targets that come back cold are given
    work slowly at first.
    With --wait the command returns once all nodes have it in force, and fails naming
    those that do not after TIMEOUT seconds.
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
