"""Divides what a service accepts among the gateways by the requests that each gets.

Load pattern: callers are spread evenly, and within a second the load balancer hands
most new connections to one gateway. With equal shares of a rate limit that gateway
refuses most of its callers while the shares of the others are idle.

Each gateway counts the requests of its callers, the refused ones included, and tells
the others. A part of the limit is still divided equally, so that callers who come to
another gateway find a share there before the others know of them. Counts of some
seconds change more slowly than hints arrive, which keeps the sum of the shares near one
while callers move.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Seconds over which requests are counted.
WINDOW_SECONDS = 1.5
# Part of the whole that is divided equally.
EQUAL_PART = 0.2


class DemandShares:
    """This gateway's share of each service."""

    def __init__(self) -> None:
        # When the requests of each service arrived.
        self._arrived: dict[str, deque[float]] = {}
        # Requests a second of the other gateways that told theirs, by service.
        self._others: dict[str, list[float]] = {}

    def record_request(self, now: float, service: str) -> None:
        """Record a caller's request."""
        arrived = self._arrived.setdefault(service, deque())
        arrived.append(now)
        _remove_before(arrived, now - WINDOW_SECONDS)

    def count_per_second(self, now: float, service: str) -> float:
        """Return the requests a second that this gateway gets."""
        arrived = self._arrived.get(service)
        if not arrived:
            return 0.0
        _remove_before(arrived, now - WINDOW_SECONDS)
        return len(arrived) / WINDOW_SECONDS

    def set_others(self, demands: Mapping[str, list[float]]) -> None:
        """Replace what the other gateways told, in requests a second."""
        self._others = dict(demands)

    def find_share(self, now: float, service: str, gateway_count: int) -> float:
        """Return this gateway's share of a service, from 0 to 1.

        Gateways that told nothing are taken to get as much as the mean of those that
        did.
        """
        equal = 1.0 / max(1, gateway_count)
        others = self._others.get(service)
        if gateway_count <= 1 or not others:
            return equal
        own = self.count_per_second(now, service)
        total = own + sum(others) / len(others) * (gateway_count - 1)
        if total <= 0:
            return equal
        return EQUAL_PART * equal + (1.0 - EQUAL_PART) * own / total


def _remove_before(times: deque[float], start: float) -> None:
    while times and times[0] < start:
        times.popleft()
