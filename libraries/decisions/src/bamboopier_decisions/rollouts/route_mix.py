"""Divides the share of a version on trial among the routes of its service.

Load pattern: one route carries four fifths of a service's requests, another a fifth,
and a version fails on the rare one only. With the same share on each route the
allowance is spent on the frequent one before the rare one's answers show anything; with
as many requests on each, a fault of the frequent one shows late. Requests on trial by
the root of a route's requests are between both.
"""

from __future__ import annotations

import math
from collections import Counter

# Requests that are counted before the division changes, and after which the counts lose
# half of their weight.
MIN_REQUESTS, MAX_REQUESTS = 30, 2000


class RouteMix:
    """Requests of one service by route, as one gateway receives them."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def record(self, route: str) -> None:
        """Record a caller's request."""
        self._counts[route] += 1
        if self._counts.total() >= MAX_REQUESTS:
            halved = {name: count // 2 for name, count in self._counts.items()}
            self._counts = Counter({n: c for n, c in halved.items() if c})

    def find_share(self, route: str, share: float) -> float:
        """Return a route's share of its own requests.

        ``share`` is that of all requests, and stays about the same.
        """
        total = self._counts.total()
        if total < MIN_REQUESTS or not 0 < share < 1:
            return share
        even = total / len(self._counts)
        wanted = {n: math.sqrt(even / c) for n, c in self._counts.items()}
        shares = {n: min(1.0, share * factor) for n, factor in wanted.items()}
        spent = sum(self._counts[n] * shares[n] for n in shares) / total
        return min(1.0, shares.get(route, share) * share / spent)
