"""This gateway's share of a constant that all gateways divide equally.

Load pattern: some of 340 gateways restart each hour, and now and then the network
between two groups of gateways fails for some seconds or minutes. Each group would
count itself alone, and the groups together would use the whole twice. Therefore the
highest count of the last minutes is used: a share that is too small for a while costs a
few retries, one that is too large loads a service that already fails.
"""

from __future__ import annotations

import hashlib
from collections import deque

# Seconds for which a higher count stays in use.
KEEP_COUNT_SECONDS = 600.0


def hash_phase(name: str) -> float:
    """Return an offset in the order of gateways, from 0 to 1.

    It differs by ``name``, so that a gateway is not last for all of them.
    """
    digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32


class GatewayShare:
    """The number of gateways that share, and the index of this one."""

    __slots__ = ("_counts", "_index")

    def __init__(self) -> None:
        # Counts that are higher than all later ones, with the time of their end;
        # infinite for the last one.
        self._counts: deque[tuple[int, float]] = deque()
        self._index = 0

    def set_gateways(self, now: float, count: int, index: int) -> None:
        """Set the number of gateways, and this one's index from 0 in their order."""
        if self._counts:
            last, _ = self._counts.pop()
            self._counts.append((last, now))
        while self._counts and self._counts[-1][0] <= count:
            self._counts.pop()
        self._counts.append((count, float("inf")))
        self._index = index

    def find_count(self, now: float) -> int | None:
        """Return the number of gateways to divide by; None as long as it is unknown."""
        while self._counts and self._counts[0][1] < now - KEEP_COUNT_SECONDS:
            self._counts.popleft()
        return self._counts[0][0] if self._counts else None

    def find_offset(self, now: float) -> float | None:
        """Return this gateway's place among all, from 0 to 1; None if unknown.

        The places of all gateways are evenly spaced.
        """
        count = self.find_count(now)
        return (self._index + 0.5) / count if count else None
