"""``bamboopier restore``: bring a drained data centre or target back."""

from __future__ import annotations

import asyncio

from bamboopier_cli.credentials import open_platform
from bamboopier_cli.output import render
from bamboopier_cli.publishing import (
    ChangeResult,
    change_drains,
    fail_behind,
    wait_everywhere,
)


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
    result = asyncio.run(_restore(place, name, platform, wait, timeout))
    fail_behind(result)
    if not result.changed:
        text = f"{place} {name} was restored already (generation {result.generation})"
    else:
        text = f"{place} {name} restored by generation {result.generation}"
    return render(result, text, json)


async def _restore(
    place: str, name: str, url: str, wait: bool, timeout: float
) -> ChangeResult:
    async with open_platform(url) as platform:
        result = await change_drains(platform, place, name, drained=False)
        return await wait_everywhere(platform, result, timeout) if wait else result
