"""``bamboopier status``: show the state of the fleet, node by node."""

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
    """The published generation, its drains and the status of each node."""

    generation: int
    drained_data_centres: list[str]
    drained_targets: list[str]
    nodes: list[NodeStatus]


def status(*, platform: str, json: bool = False) -> str:
    """Show the published generation, drains and the state of all nodes.

    Status is read directly from the nodes, and the published generation and the VM list
    from the platform. The exit code is 1 when the platform cannot be read; nodes that
    do not answer are shown as such.
    """
    fleet = asyncio.run(_read_fleet_status(platform))
    return render(fleet, _render_text(fleet), json)


async def _read_fleet_status(url: str) -> FleetStatus:
    async with open_platform(url) as platform:
        current = await read_current_generation(Publisher(platform))
        nodes = await read_node_statuses(await list_nodes(platform))
        drains = current.configuration.drains
        return FleetStatus(current.number, drains.data_centres, drains.targets, nodes)


def _render_text(fleet: FleetStatus) -> str:
    in_force = sum(node.generation >= fleet.generation for node in fleet.nodes)
    lines = [
        f"generation {fleet.generation}, in force at {in_force} of "
        f"{len(fleet.nodes)} nodes",
        f"drained data centres: {', '.join(fleet.drained_data_centres) or 'none'}",
        f"drained targets: {', '.join(fleet.drained_targets) or 'none'}",
        "",
    ]
    rows = [TITLES, *(_make_row(node, fleet) for node in fleet.nodes)]
    return "\n".join(lines + _align_columns(rows))


def _make_row(node: NodeStatus, fleet: FleetStatus) -> tuple[str, ...]:
    load = (str(node.running), str(node.waiting), str(node.limit))
    identity = (node.name, node.role, node.data_centre, node.service or "-")
    if not node.reachable:
        return (*identity, "no answer", "-", "-", "-", "-", "-")
    state = _name_state(node, fleet)
    version = node.weight_version or "-"
    return (*identity, state, str(node.generation), version, *load)


def _name_state(node: NodeStatus, fleet: FleetStatus) -> str:
    if node.listed == "leaving":
        return "leaving"
    if (
        node.data_centre in fleet.drained_data_centres
        or node.name in fleet.drained_targets
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
