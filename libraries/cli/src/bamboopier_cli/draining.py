"""Takes places out of service and returns them, and reports the outcome."""

from __future__ import annotations

import asyncio

from .output import render
from .publishing import fail_if_nodes_behind, set_drained


def change_drain(
    platform: str,
    place: str,
    name: str,
    *,
    drained: bool,
    wait: bool,
    timeout: float,
    json: bool,
) -> str:
    """Drain or restore a data centre or a target; return the text for the operator.

    Raises an error with the names of the nodes that do not have the change in force
    after ``timeout`` seconds, if it is to ``wait`` for them.
    """
    result = asyncio.run(
        set_drained(platform, place, name, drained=drained, wait=wait, timeout=timeout)
    )
    fail_if_nodes_behind(result)
    verb = "drained" if drained else "restored"
    if result.changed:
        text = f"{place} {name} {verb} by generation {result.generation}"
    else:
        text = f"{place} {name} was {verb} already (generation {result.generation})"
    return render(result, text, json)
