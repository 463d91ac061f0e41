"""Attempts this agent has been given, so that none is served twice."""

from __future__ import annotations

from collections import OrderedDict

# Hours of attempts at the design size: 3,100 requests a second over 730 agents.
CAPACITY = 65_536


class SeenAttempts:
    """A bounded memory of attempt ids, oldest dropped first.

    A message layer that sends a request again after a lost connection would run it a
    second time without the caller's asking, and without a key no claim stops it.
    """

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        self._ids: OrderedDict[str, None] = OrderedDict()

    def add(self, attempt_id: str) -> bool:
        """Note an attempt; False when it has been here before."""
        if attempt_id in self._ids:
            return False
        self._ids[attempt_id] = None
        if len(self._ids) > self._capacity:
            self._ids.popitem(last=False)
        return True
