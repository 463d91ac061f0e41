"""Finds the route of a request, and the workspace of an API key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .urgency import UrgencyRanks

if TYPE_CHECKING:
    import random

    from .specs import DeclaredConfiguration, Route, Workspace


class RouteTable:
    """Look-ups in one version of the configuration.

    Load pattern: thousands of requests a second over hundreds of routes. A request
    looks up one prefix for each slash of its path, whatever the number of routes.
    """

    __slots__ = ("_by_host", "_by_key", "_urgency", "configuration")

    def __init__(self, configuration: DeclaredConfiguration) -> None:
        self.configuration = configuration
        self._urgency = UrgencyRanks(configuration)
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes.setdefault(route.prefix, route)
        self._by_key: dict[str, Workspace] = {
            key: workspace
            for workspace in configuration.workspaces or ()
            for key in workspace.keys
        }

    @property
    def needs_key(self) -> bool:
        """Return whether routes that are not public require a key."""
        return self.configuration.workspaces is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path`` (without query)."""
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace of ``key``, or None if the key is unknown."""
        return self._by_key.get(key)

    def find_priority(self, route: Route, workspace: Workspace | None) -> int:
        """Return how urgent a request is among all others, 0 for the most urgent."""
        return self._urgency.find_rank(workspace, route)


def choose_service(route: Route, random: random.Random) -> str:
    """Return a random service for one request, by the configured weights."""
    if len(route.services) == 1:
        return route.services[0].service
    weights = [s.weight for s in route.services]
    return random.choices(route.services, weights)[0].service
