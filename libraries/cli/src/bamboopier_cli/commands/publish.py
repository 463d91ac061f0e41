"""``bamboopier publish``: publish configuration files as the next generation."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import msgspec
from result import Err

from bamboopier_objects.errors import VersionConflictError
from bamboopier_objects.publisher import Publisher

from ..credentials import open_platform
from ..difference import Difference, compare_configurations, format_differences
from ..exit_codes import CommandError
from ..output import render
from ..publishing import (
    ChangeResult,
    fail_if_nodes_behind,
    read_current_generation,
    wait_for_nodes,
)
from .check import collect_or_fail

if TYPE_CHECKING:
    from bamboopier_configuration.model import Configuration


class PublishResult(msgspec.Struct, frozen=True):
    """The generation that was published or, with --dry-run, would be."""

    generation: int
    published: bool
    differences: list[Difference]


def publish(
    *roots: str,
    platform: str,
    wait: bool = False,
    dry_run: bool = False,
    diff: bool = False,
    timeout: float = 30.0,
    json: bool = False,
) -> str:
    """Validate and publish the files at or below ROOTS; current drains are kept.

    With --dry-run nothing is published; --diff shows the changes. With --wait the
    command returns once all nodes have the generation in force, and fails with the
    names of those that do not after TIMEOUT seconds. On a conflict with another
    publisher nothing is published and the exit code is 1.
    """
    configuration = collect_or_fail(roots)
    result = asyncio.run(_publish(configuration, platform, wait, dry_run, timeout))
    if dry_run:
        text = f"would publish generation {result.generation}"
    elif result.published:
        text = f"published generation {result.generation}"
    else:
        text = f"generation {result.generation} is identical; nothing published"
    if diff or dry_run:
        text = f"{format_differences(result.differences)}\n{text}"
    return render(result, text, json)


async def _publish(
    configuration: Configuration, url: str, wait: bool, dry_run: bool, timeout: float
) -> PublishResult:
    async with open_platform(url) as platform:
        publisher = Publisher(platform)
        base = await read_current_generation(publisher)
        updated = msgspec.structs.replace(
            configuration, drains=base.configuration.drains
        )
        differences = compare_configurations(base.configuration, updated)
        if dry_run:
            return PublishResult(base.number + 1, False, differences)
        number = base.number
        if differences or not number:
            outcome = await publisher.publish(base, updated, uuid.uuid4().hex)
            if isinstance(outcome, Err):
                error = outcome.err_value
                if isinstance(error, VersionConflictError):
                    text = "nothing published: another publisher came first; "
                    raise CommandError(text + "review its changes and publish again")
                raise CommandError(str(error))
            number = outcome.ok_value.number
        if wait:
            change = ChangeResult(number, bool(differences))
            fail_if_nodes_behind(await wait_for_nodes(platform, change, timeout))
        return PublishResult(number, number != base.number, differences)
