"""Steps that the commands which change the configuration share."""

from __future__ import annotations

import asyncio
import random
import uuid
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok

from bamboopier_configuration.model import Drains
from bamboopier_objects.errors import VersionConflictError
from bamboopier_objects.publisher import Publisher

from .credentials import open_platform
from .exit_codes import USAGE_ERROR, CommandError
from .node_status import list_nodes, wait_for_generation

if TYPE_CHECKING:
    from collections.abc import Callable

    from bamboopier_objects.generations import Generation
    from bamboopier_objects.http_platform import HttpPlatform
    from bamboopier_objects.vms import Vm

# Drains by several operators at once compose; each conflict means that one got through.
MAX_DRAIN_ATTEMPTS = 20
MAX_CONFLICT_DELAY_SECONDS = 0.2

DATA_CENTRE = "data-centre"
TARGET = "target"


class ChangeResult(msgspec.Struct, frozen=True):
    """An accepted change."""

    generation: int
    # False when the state asked for was in force already.
    changed: bool
    # Nodes that did not have it in force in time; only asked for with --wait.
    behind: list[str] = []


async def read_current_generation(publisher: Publisher) -> Generation:
    """Return the published generation or end the command."""
    answer = await publisher.read()
    if isinstance(answer, Err):
        raise CommandError(f"nothing changed: {answer.err_value}")
    return answer.ok_value


async def set_drained(
    platform_url: str,
    place: str,
    name: str,
    *,
    drained: bool,
    wait: bool,
    timeout: float,
) -> ChangeResult:
    """Take a place out of service or back; with ``wait`` until all nodes know it."""
    async with open_platform(platform_url) as platform:
        result = await change_drains(platform, place, name, drained=drained)
        return await wait_for_nodes(platform, result, timeout) if wait else result


async def change_drains(
    platform: HttpPlatform, place: str, name: str, *, drained: bool
) -> ChangeResult:
    """Take a place out of service or back; retried while others publish."""
    nodes = await list_nodes(platform)
    publisher = Publisher(platform)
    for _ in range(MAX_DRAIN_ATTEMPTS):
        base = await read_current_generation(publisher)
        drains = _apply_drain(base.configuration.drains, place, name, nodes, drained)
        if drains == base.configuration.drains:
            return ChangeResult(base.number, False)
        wanted = msgspec.structs.replace(base.configuration, drains=drains)
        answer = await publisher.publish(base, wanted, uuid.uuid4().hex)
        if isinstance(answer, Ok):
            return ChangeResult(answer.ok_value.number, True)
        if not isinstance(answer.err_value, VersionConflictError):
            raise CommandError(str(answer.err_value))
        await asyncio.sleep(random.uniform(0, MAX_CONFLICT_DELAY_SECONDS))
    raise CommandError("nothing changed: other publishers came first each time")


async def wait_for_nodes(
    platform: HttpPlatform, result: ChangeResult, timeout: float
) -> ChangeResult:
    """Return the result with the nodes that do not have it after ``timeout``."""
    nodes = await list_nodes(platform)
    behind = await wait_for_generation(nodes, result.generation, timeout)
    return msgspec.structs.replace(result, behind=[status.name for status in behind])


def fail_if_nodes_behind(result: ChangeResult) -> None:
    """End the command when some nodes are behind."""
    if result.behind:
        names = ", ".join(result.behind)
        text = f"generation {result.generation} is accepted, not in force at: {names}"
        raise CommandError(text)


def _apply_drain(
    drains: Drains, place: str, name: str, nodes: list[Vm], drained: bool
) -> Drains:
    names: dict[str, Callable[[Vm], str]] = {
        DATA_CENTRE: lambda vm: vm.data_centre,
        TARGET: lambda vm: vm.name if vm.role == "target" else "",
    }
    if place not in names:
        allowed = " or ".join(names)
        raise CommandError(f"cannot drain a '{place}'; allowed: {allowed}", USAGE_ERROR)
    current = drains.data_centres if place == DATA_CENTRE else drains.targets
    known = {names[place](vm) for vm in nodes} - {""} | set(current)
    if name not in known:
        listed = ", ".join(sorted(known)) or "none"
        raise CommandError(f"no {place} named '{name}'; known: {listed}", USAGE_ERROR)
    left = set(current) | {name} if drained else set(current) - {name}
    if place == DATA_CENTRE:
        return Drains(sorted(left), drains.targets)
    return Drains(drains.data_centres, sorted(left))
