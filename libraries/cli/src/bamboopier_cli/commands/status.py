"""``bamboopier status``: what the fleet has in force, node by node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from bamboopier_objects.publisher import Publisher

from ..credentials import open_platform
from ..node_status import NodeStatus, list_nodes, read_node_statuses
from ..output import render
from ..publishing import read_current_generation

if TYPE_CHECKING:
    from collections.abc import Sequence


NODE_TITLES = ("NODE", "ROLE", "DATA-CENTRE", "SERVICE", "STATE", "GENERATION")
TITLES = (*NODE_TITLES, "VERSION", "RUNNING", "WAITING", "LIMIT")


class FleetStatus(msgspec.Struct, frozen=True):
    """The published generation and what each node says of itself."""

    generation: int
    drained_data_centres: list[str]
    drained_targets: list[str]
    nodes: list[NodeStatus]


def status(*, platform: str, json: bool = False) -> str:
    """Show the generation in force, drains and the state of all nodes.

    Nodes are asked directly; the platform gives the published generation and the VM
    list. The exit code is 1 when the platform cannot be read; nodes that do not answer
    are shown as such.
    """
    found = asyncio.run(_read_fleet_status(platform))
    return render(found, _render_text(found), json)


async def _read_fleet_status(url: str) -> FleetStatus:
    async with open_platform(url) as platform:
        current = await read_current_generation(Publisher(platform))
        nodes = await read_node_statuses(await list_nodes(platform))
        drains = current.configuration.drains
        return FleetStatus(current.number, drains.data_centres, drains.targets, nodes)


def _render_text(found: FleetStatus) -> str:
    in_force = sum(node.generation >= found.generation for node in found.nodes)
    lines = [
        f"generation {found.generation}, in force at {in_force} of "
        f"{len(found.nodes)} nodes",
        f"drained data centres: {', '.join(found.drained_data_centres) or 'none'}",
        f"drained targets: {', '.join(found.drained_targets) or 'none'}",
        "",
    ]
    rows = [TITLES, *(_make_row(node, found) for node in found.nodes)]
    return "\n".join(lines + _align_columns(rows))


def _make_row(node: NodeStatus, found: FleetStatus) -> tuple[str, ...]:
    load = (str(node.running), str(node.waiting), str(node.limit))
    place = (node.name, node.role, node.data_centre, node.service or "-")
    if not node.reachable:
        return (*place, "no answer", "-", "-", "-", "-", "-")
    state = _name_state(node, found)
    version = node.weight_version or "-"
    return (*place, state, str(node.generation), version, *load)


def _name_state(node: NodeStatus, found: FleetStatus) -> str:
    if node.listed == "leaving":
        return "leaving"
    if (
        node.data_centre in found.drained_data_centres
        or node.name in found.drained_targets
    ):
        return "drained"
    return "ready" if node.accepting else "closed"


def _align_columns(rows: Sequence[tuple[str, ...]]) -> list[str]:
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return [
        "  ".join(
            f"{cell:<{width}}" for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
