"""Decides whether a target is skipped because of its recent failures.

Load pattern: one target of several fails some of its requests, or does not respond,
while its health check succeeds. Least-loaded placement makes it worse: a target that
fails at once looks idle. The circuit breaker of a target whose recent failures stand
out opens, each time for twice as long; then single requests probe the target.
"""

from __future__ import annotations

# Weight of one response in the moving failure rate: about the last eight count.
FAILURE_RATE_WEIGHT = 0.12
# The circuit breaker opens above this failure rate. A faulty target fails half of its
# requests; at a rate of one in ten, chance seldom reaches this value.
MAX_FAILURE_RATE = 0.3
# Seconds for which the circuit breaker is open, doubled each time up to the maximum.
INITIAL_OPEN_SECONDS = 0.5
MAX_OPEN_SECONDS = 4.0
# An unreachable target is detected at once; a restart takes about a second.
UNREACHABLE_OPEN_SECONDS = 0.3


class CircuitBreaker:
    """The circuit breaker of one target."""

    __slots__ = ("_open_seconds", "_probing", "_failure_rate", "_open_until")

    def __init__(self) -> None:
        self._failure_rate = 0.0
        self._open_seconds = 0.0
        self._open_until = float("-inf")
        # One request is in flight that probes whether the target responds again.
        self._probing = False

    @property
    def failure_rate(self) -> float:
        """Return the moving failure rate, 0 to 1."""
        return self._failure_rate

    def allows_request(self, now: float) -> bool:
        """Return whether a request may be sent."""
        if now < self._open_until:
            return False
        return not (self._open_seconds > 0 and self._probing)

    def record_sent(self) -> None:
        """Record that a request was sent."""
        if self._open_seconds > 0:
            self._probing = True

    def record_success(self) -> None:
        """Record a complete response."""
        self._failure_rate *= 1 - FAILURE_RATE_WEIGHT
        self._probing = False
        if self._open_seconds > 0:
            self._failure_rate = min(self._failure_rate, MAX_FAILURE_RATE / 2)
        self._open_seconds = 0.0

    def record_inconclusive(self) -> None:
        """Record an end that shows nothing about the target."""
        self._probing = False

    def record_failure(self, now: float) -> None:
        """Record a request that the target failed."""
        self._failure_rate += (1 - self._failure_rate) * FAILURE_RATE_WEIGHT
        was_probing = self._probing
        self._probing = False
        if self._failure_rate > MAX_FAILURE_RATE or was_probing:
            self._open(now, INITIAL_OPEN_SECONDS)

    def record_unreachable(self, now: float) -> None:
        """Record that no connection to the target could be opened."""
        self._probing = False
        self._open(now, UNREACHABLE_OPEN_SECONDS)

    def _open(self, now: float, initial: float) -> None:
        if now < self._open_until:
            return
        self._open_seconds = min(MAX_OPEN_SECONDS, max(initial, self._open_seconds * 2))
        self._open_until = now + self._open_seconds
