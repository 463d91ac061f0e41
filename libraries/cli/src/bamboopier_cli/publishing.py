"""Steps shared by the commands that change the configuration."""

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

# Concurrent drains by several operators all take effect: each conflict means that
# another operator's change was accepted.
MAX_DRAIN_ATTEMPTS = 20
MAX_CONFLICT_DELAY_SECONDS = 0.2

DATA_CENTRE = "data-centre"
TARGET = "target"


class ChangeResult(msgspec.Struct, frozen=True):
    """An accepted change."""

    generation: int
    # False when the requested state was in force already.
    changed: bool
    # Nodes without it in force at the timeout; checked only with --wait.
    behind: list[str] = []


async def read_current_generation(publisher: Publisher) -> Generation:
    """Return the published generation; end the command if it cannot be read."""
    result = await publisher.read()
    if isinstance(result, Err):
        raise CommandError(f"nothing changed: {result.err_value}")
    return result.ok_value


async def set_drained(
    platform_url: str,
    place: str,
    name: str,
    *,
    drained: bool,
    wait: bool,
    timeout: float,
) -> ChangeResult:
    """Drain or restore a data centre or target, the ``place``.

    With ``wait``, return once all nodes have the change in force, or after ``timeout``
    seconds.
    """
    async with open_platform(platform_url) as platform:
        result = await change_drains(platform, place, name, drained=drained)
        return await wait_for_nodes(platform, result, timeout) if wait else result


async def change_drains(
    platform: HttpPlatform, place: str, name: str, *, drained: bool
) -> ChangeResult:
    """Drain or restore a place; retry on conflicts with other publishers."""
    nodes = await list_nodes(platform)
    publisher = Publisher(platform)
    for _ in range(MAX_DRAIN_ATTEMPTS):
        base = await read_current_generation(publisher)
        drains = _apply_drain(base.configuration.drains, place, name, nodes, drained)
        if drains == base.configuration.drains:
            return ChangeResult(base.number, False)
        updated = msgspec.structs.replace(base.configuration, drains=drains)
        outcome = await publisher.publish(base, updated, uuid.uuid4().hex)
        if isinstance(outcome, Ok):
            return ChangeResult(outcome.ok_value.number, True)
        if not isinstance(outcome.err_value, VersionConflictError):
            raise CommandError(str(outcome.err_value))
        await asyncio.sleep(random.uniform(0, MAX_CONFLICT_DELAY_SECONDS))
    raise CommandError("nothing changed: conflicts with other publishers each time")


async def wait_for_nodes(
    platform: HttpPlatform, result: ChangeResult, timeout: float
) -> ChangeResult:
    """Wait up to ``timeout`` seconds until all nodes have the result in force.

    Return the result with the names of the nodes that are still behind.
    """
    nodes = await list_nodes(platform)
    behind = await wait_for_generation(nodes, result.generation, timeout)
    return msgspec.structs.replace(result, behind=[status.name for status in behind])


def fail_if_nodes_behind(result: ChangeResult) -> None:
    """End the command with an error if nodes are behind."""
    if result.behind:
        names = ", ".join(result.behind)
        text = f"generation {result.generation} is accepted, not in force at: {names}"
        raise CommandError(text)


def _apply_drain(
    drains: Drains, place: str, name: str, nodes: list[Vm], drained: bool
) -> Drains:
    name_getters: dict[str, Callable[[Vm], str]] = {
        DATA_CENTRE: lambda vm: vm.data_centre,
        TARGET: lambda vm: vm.name if vm.role == "target" else "",
    }
    if place not in name_getters:
        allowed = " or ".join(name_getters)
        raise CommandError(f"cannot drain a '{place}'; allowed: {allowed}", USAGE_ERROR)
    current = drains.data_centres if place == DATA_CENTRE else drains.targets
    existing = {name_getters[place](vm) for vm in nodes} - {""} | set(current)
    if name not in existing:
        listed = ", ".join(sorted(existing)) or "none"
        raise CommandError(f"no {place} named '{name}'; known: {listed}", USAGE_ERROR)
    drained_names = set(current) | {name} if drained else set(current) - {name}
    if place == DATA_CENTRE:
        return Drains(sorted(drained_names), drains.targets)
    return Drains(drains.data_centres, sorted(drained_names))
