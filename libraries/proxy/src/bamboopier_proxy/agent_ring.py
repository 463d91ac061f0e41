"""Selects agents for a key, such that all gateways select the same ones.

Load pattern: every stream is told to a few agents, and asked for only after its
gateways are gone. A ring is built once per change of the list of targets; an agent that
goes moves its own keys only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bamboopier_decisions.routing.hash_ring import HashRing, compute_points

from .settings import Endpoint

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.fleet import Fleet


class AgentRing:
    """The machines of the registered engines, each of which runs an agent."""

    def __init__(self, fleet: Fleet, port: int) -> None:
        self._fleet = fleet
        # First port of the range for messages: the same on all machines.
        self._port = port
        self._hosts: list[str] = []
        self._ring = HashRing([])
        self._applied_changes = 0

    def select(self, key: bytes, count: int) -> list[Endpoint]:
        """Return the first ``count`` agents for ``key``, in order."""
        self._update()
        selected: dict[int, None] = {}
        for index in self._ring.walk(key):
            selected[index] = None
            if len(selected) == count:
                break
        return [Endpoint(self._hosts[index], self._port) for index in selected]

    def _update(self) -> None:
        if self._fleet.changes == self._applied_changes:
            return
        self._applied_changes = self._fleet.changes
        hosts = self._fleet.list_engine_hosts()
        if hosts != self._hosts:
            self._hosts = hosts
            self._ring = HashRing([compute_points(host) for host in hosts])
