"""Estimates how long a new request will wait, by how many were sent lately.

Load pattern: more requests come than are carried, for seconds. A queue of fixed length
is too long for a slow service and too short for a fast one; a request that can't go
before its wait ends is better told so at once.

Urgent requests pass the others: what they take says nothing about how fast less urgent
ones leave, while they could have any place that a less urgent one got.
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
        # Time and priority of each.
        self._departed: deque[tuple[float, int]] = deque()
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

    def record_departure(self, now: float, priority: int = 0) -> None:
        """Record a request that is served."""
        self._departed.append((now, priority))
        self._expire(now)

    def estimate_wait(
        self, now: float, before: int, capacity: float, priority: int = 0
    ) -> float:
        """Return the seconds until a request leaves with ``before`` ahead of it.

        ``capacity`` is what the targets are known to take a second, 0 if unknown: after
        a lull few were sent, and more are possible. The result is 0 as long as no rate
        is known. Without a known capacity it is 0 for the next one, too: if all were
        refused, none would show that requests leave again.
        """
        per_second = self.find_rate(now, priority)
        if per_second <= 0 or (before == 0 and capacity <= 0):
            return 0.0
        return (before + 1) / max(capacity, per_second)

    def find_rate(self, now: float, priority: int = 0) -> float:
        """Return how many requests of a priority, or less urgent, leave a second.

        0 as long as that is unknown: no request has waited for long enough.
        """
        since = self._waiting_since
        if since is None or now - since < SETTLE_SECONDS:
            return 0.0
        self._expire(now)
        seconds = min(WINDOW_SECONDS, now - since)
        start = now - seconds
        departed = sum(at >= start and p >= priority for at, p in self._departed)
        return max(1, departed) / seconds

    def _expire(self, now: float) -> None:
        while self._departed and self._departed[0][0] < now - WINDOW_SECONDS:
            self._departed.popleft()
