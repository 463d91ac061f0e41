"""Ranks requests by the priority of their workspace, and then of their route.

Load pattern: engines have room for some of the requests that wait. Operators give a
priority to workspaces and to routes, and that of the workspace goes first. Where all
workspaces have the same one it decides nothing, and the routes' own have to: otherwise
a short urgent request waits behind the long ones of the least urgent route.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .specs import DeclaredConfiguration, Route, Workspace


class UrgencyRanks:
    """The order of all pairs of a workspace's and a route's priority."""

    __slots__ = ("_last", "_ranks")

    def __init__(self, configuration: DeclaredConfiguration) -> None:
        workspaces = configuration.workspaces or ()
        named = {w.priority for w in workspaces if w.priority is not None}
        # Where a workspace has no priority, or a request no workspace.
        self._last = max(named, default=0)
        own = {self._find_own(w) for w in workspaces} | {self._last}
        routes = {route.priority for route in configuration.routes}
        # Empty if the routes' priorities alone decide.
        self._ranks = _rank_pairs(own, routes) if len(own) > 1 else {}

    def find_rank(self, workspace: Workspace | None, route: Route) -> int:
        """Return the rank of a request, 0 for the most urgent."""
        if not self._ranks:
            return route.priority
        return self._ranks[self._find_own(workspace), route.priority]

    def _find_own(self, workspace: Workspace | None) -> int:
        if workspace is None or workspace.priority is None:
            return self._last
        return workspace.priority


def _rank_pairs(
    workspaces: Iterable[int], routes: Iterable[int]
) -> dict[tuple[int, int], int]:
    pairs = sorted((own, route) for own in workspaces for route in routes)
    return {pair: rank for rank, pair in enumerate(pairs)}
