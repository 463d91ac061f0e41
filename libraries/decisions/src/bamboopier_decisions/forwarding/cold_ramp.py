"""How many requests a second a cold target gets from this gateway.

Load pattern: a data centre's engines come back together, and every gateway sends them
their whole share at once. A cold engine bears a few requests a second and crashes well
above that, so each gateway keeps to its part of that rate.
"""

from __future__ import annotations

from collections import deque

WINDOW_SECONDS = 1.0
# Requests sent within a second may arrive within less, as links differ: a gateway
# counts a little more than a second.
WINDOW_MARGIN = 0.1


class ColdRamp:
    """Counts what was sent to one target while it is cold."""

    __slots__ = ("_sent", "_until")

    def __init__(self) -> None:
        self._until = float("-inf")
        self._sent: deque[float] = deque()

    def start(self, now: float, seconds: float) -> None:
        """Take in that the target is cold for ``seconds`` more."""
        self._until = max(self._until, now + seconds)

    def is_cold(self, now: float) -> bool:
        """Say whether the target is cold."""
        return now < self._until

    def may_send(self, now: float, per_second: float, gateways: int) -> bool:
        """Say whether this gateway's part of ``per_second`` allows one more."""
        if not self.is_cold(now):
            return True
        start = now - WINDOW_SECONDS - WINDOW_MARGIN
        while self._sent and self._sent[0] < start:
            self._sent.popleft()
        return len(self._sent) < max(1, int(per_second / max(1, gateways)))

    def note_sent(self, now: float) -> None:
        """Count a request."""
        if self.is_cold(now):
            self._sent.append(now)
