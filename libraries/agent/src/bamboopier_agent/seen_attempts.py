"""Remembers the attempts that this agent has received, so that none is served twice."""

from __future__ import annotations

from collections import OrderedDict

# Hours of attempts at the design load of 3,100 requests a second over 730 agents.
CAPACITY = 65_536


class SeenAttempts:
    """A bounded set of attempt ids that drops the oldest first.

    A message layer may resend a request after a lost connection. Without this check the
    request would run twice, because a request without a key has no claim.
    """

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        self._ids: OrderedDict[str, None] = OrderedDict()

    def add(self, attempt_id: str) -> bool:
        """Record an attempt; return False if it was recorded before."""
        if attempt_id in self._ids:
            return False
        self._ids[attempt_id] = None
        if len(self._ids) > self._capacity:
            self._ids.popitem(last=False)
        return True
