"""Finds the workspaces that ask for more than their part of a service.

Load pattern: one workspace asks for many times what a service carries, another for
little, and both come to many gateways, of which each sees a few of their requests.
Parts are max-min fair: whoever asks for less than an even part gets all it asks for,
and what it leaves is divided among the others.

Each gateway counts the requests of its callers, the refused ones included, and tells
the others.
"""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Seconds over which requests are counted.
WINDOW_SECONDS = 1.5


class WorkspaceDemands:
    """Requests a second by service and workspace, here and at the other gateways."""

    __slots__ = ("_arrived", "_others")

    def __init__(self) -> None:
        # Time and workspace of the last requests, by service.
        self._arrived: dict[str, deque[tuple[float, str]]] = {}
        # Of all other gateways together.
        self._others: Mapping[str, Counter[str]] = {}

    def record_request(self, now: float, service: str, workspace: str) -> None:
        """Record a caller's request."""
        arrived = self._arrived.setdefault(service, deque())
        arrived.append((now, workspace))
        _remove_before(arrived, now - WINDOW_SECONDS)

    def count_own(self, now: float, service: str) -> Counter[str]:
        """Return this gateway's requests in the window, by workspace."""
        arrived = self._arrived.get(service)
        if not arrived:
            return Counter()
        _remove_before(arrived, now - WINDOW_SECONDS)
        return Counter(workspace for _, workspace in arrived)

    def set_others(self, counts: Mapping[str, Counter[str]]) -> None:
        """Replace what the other gateways counted in their windows, by service."""
        self._others = counts

    def exceeds_part(
        self, now: float, service: str, workspace: str, capacity: float
    ) -> bool:
        """Return whether a workspace asks for more than its part.

        ``capacity`` is what the service carries a second, 0 if that is unknown.
        """
        if capacity <= 0:
            return False
        counts = self.count_own(now, service) + self._others.get(service, Counter())
        level = find_level(counts.values(), capacity * WINDOW_SECONDS)
        return counts[workspace] > level


def find_level(demands: Iterable[float], capacity: float) -> float:
    """Return the most that one of ``demands`` gets if ``capacity`` is divided fairly.

    Infinity if all get what they ask for.
    """
    ordered = sorted(demands)
    left = capacity
    for index, demand in enumerate(ordered):
        part = left / (len(ordered) - index)
        if demand > part:
            return part
        left -= demand
    return float("inf")


def _remove_before(arrived: deque[tuple[float, str]], start: float) -> None:
    while arrived and arrived[0][0] < start:
        arrived.popleft()
