"""Whether a target is passed over because of how it answered.

Load pattern: one target of several fails part of its requests, or hangs, while its
health check is good. Least-loaded choice makes it worse: what fails at once looks idle.
A target whose recent failures stand out is passed over for a pause that doubles, and
tried again with single requests.
"""

from __future__ import annotations

# Weight of one answer in the moving share of failures: about the last eight count.
FAILURE_RATE_WEIGHT = 0.12
# A target is passed over above this share of failures. Half the requests failing is
# what a faulty target shows; chance reaches it seldom at a share of one in ten.
MAX_FAILURE_RATE = 0.3
# Seconds a target is passed over, doubled each time up to the longest.
INITIAL_OPEN_SECONDS = 0.5
MAX_OPEN_SECONDS = 4.0
# A target that cannot be reached shows at once; a restart takes about a second.
UNREACHABLE_OPEN_SECONDS = 0.3


class CircuitBreaker:
    """One target's recent answers."""

    __slots__ = ("_open_seconds", "_probing", "_failure_rate", "_open_until")

    def __init__(self) -> None:
        self._failure_rate = 0.0
        self._open_seconds = 0.0
        self._open_until = float("-inf")
        # One request is on its way to find out whether the target answers again.
        self._probing = False

    @property
    def failure_rate(self) -> float:
        """Return the moving share of failures, 0 to 1."""
        return self._failure_rate

    def allows_request(self, now: float) -> bool:
        """Say whether a request may be sent."""
        if now < self._open_until:
            return False
        return not (self._open_seconds > 0 and self._probing)

    def record_sent(self) -> None:
        """Take in that a request was sent."""
        if self._open_seconds > 0:
            self._probing = True

    def record_success(self) -> None:
        """Take in a whole answer."""
        self._failure_rate *= 1 - FAILURE_RATE_WEIGHT
        self._probing = False
        if self._open_seconds > 0:
            self._failure_rate = min(self._failure_rate, MAX_FAILURE_RATE / 2)
        self._open_seconds = 0.0

    def record_inconclusive(self) -> None:
        """Take in an end that says nothing of the target."""
        self._probing = False

    def record_failure(self, now: float) -> None:
        """Take in a request that the target failed."""
        self._failure_rate += (1 - self._failure_rate) * FAILURE_RATE_WEIGHT
        was_probing = self._probing
        self._probing = False
        if self._failure_rate > MAX_FAILURE_RATE or was_probing:
            self._open(now, INITIAL_OPEN_SECONDS)

    def record_unreachable(self, now: float) -> None:
        """Take in that no connection to the target came about."""
        self._probing = False
        self._open(now, UNREACHABLE_OPEN_SECONDS)

    def _open(self, now: float, initial: float) -> None:
        if now < self._open_until:
            return
        self._open_seconds = min(MAX_OPEN_SECONDS, max(initial, self._open_seconds * 2))
        self._open_until = now + self._open_seconds
