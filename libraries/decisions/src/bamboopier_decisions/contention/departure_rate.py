"""Estimates how long a new request will wait, by how many were sent lately.

Load pattern: more requests come than are carried, for seconds. A queue of fixed length
is too long for a slow service and too short for a fast one; a request that can't go
before its wait ends is better told so at once.
"""

from __future__ import annotations

from collections import deque

# Seconds over which departures are counted.
WINDOW_SECONDS = 1.0
# Seconds for which requests have to have waited before the rate is used: before that,
# few departures do not show that few are possible. A shorter pause does not count.
SETTLE_SECONDS = 0.3


class DepartureRate:
    """Requests of a service that were sent, after a wait or without one."""

    __slots__ = ("_departed", "_empty_since", "_waiting_since")

    def __init__(self) -> None:
        self._departed: deque[float] = deque()
        # Since when requests have waited, but for short moments; None if none does.
        self._waiting_since: float | None = None
        # Since when none waits; None while one does.
        self._empty_since: float | None = None

    def record_waiting(self, now: float, *, is_waiting: bool) -> None:
        """Record whether requests wait from now on."""
        if not is_waiting:
            self._empty_since = now
            return
        empty_since, self._empty_since = self._empty_since, None
        was_empty = empty_since is not None and now - empty_since >= SETTLE_SECONDS
        if self._waiting_since is None or was_empty:
            self._waiting_since = now

    def record_departure(self, now: float) -> None:
        """Record a request that is served."""
        self._departed.append(now)
        self._expire(now)

    def estimate_wait(self, now: float, before: int, capacity: float) -> float:
        """Return the seconds until a request leaves with ``before`` ahead of it.

        ``capacity`` is what the targets are known to take a second, 0 if unknown: after
        a lull few were sent, and more are possible. The result is 0 as long as no rate
        is known.
        """
        since = self._waiting_since
        if since is None or now - since < SETTLE_SECONDS:
            return 0.0
        self._expire(now)
        seconds = min(WINDOW_SECONDS, now - since)
        departed = sum(at >= now - seconds for at in self._departed)
        return (before + 1) / max(capacity, max(1, departed) / seconds)

    def _expire(self, now: float) -> None:
        while self._departed and self._departed[0] < now - WINDOW_SECONDS:
            self._departed.popleft()
