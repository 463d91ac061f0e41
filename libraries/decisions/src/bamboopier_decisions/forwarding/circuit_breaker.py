"""Whether a target is passed over because of how it answered.

Load pattern: one target of several fails part of its requests, or hangs, while its
health check is good. Least-loaded choice makes it worse: what fails at once looks idle.
A target whose recent failures stand out is passed over for a pause that doubles, and
tried again with single requests.
"""

from __future__ import annotations

# Weight of one answer in the moving share of failures: about the last eight count.
SHARE_WEIGHT = 0.12
# A target is passed over above this share of failures. Half the requests failing is
# what a faulty target shows; chance reaches it seldom at a share of one in ten.
FAILING_SHARE = 0.3
# Seconds a target is passed over, doubled each time up to the longest.
FIRST_PAUSE = 0.5
LONGEST_PAUSE = 4.0
# A target that cannot be reached shows at once; a restart takes about a second.
UNREACHABLE_PAUSE = 0.3


class CircuitBreaker:
    """One target's recent answers."""

    __slots__ = ("_pause", "_probing", "_share", "_until")

    def __init__(self) -> None:
        self._share = 0.0
        self._pause = 0.0
        self._until = float("-inf")
        # One request is on its way to find out whether the target answers again.
        self._probing = False

    @property
    def failure_rate(self) -> float:
        """Return the moving share of failures, 0 to 1."""
        return self._share

    def allows_request(self, now: float) -> bool:
        """Say whether a request may be sent."""
        if now < self._until:
            return False
        return not (self._pause > 0 and self._probing)

    def record_sent(self) -> None:
        """Take in that a request was sent."""
        if self._pause > 0:
            self._probing = True

    def record_success(self) -> None:
        """Take in a whole answer."""
        self._share *= 1 - SHARE_WEIGHT
        self._probing = False
        if self._pause > 0:
            self._share = min(self._share, FAILING_SHARE / 2)
        self._pause = 0.0

    def record_inconclusive(self) -> None:
        """Take in an end that says nothing of the target."""
        self._probing = False

    def record_failure(self, now: float) -> None:
        """Take in a request that the target failed."""
        self._share += (1 - self._share) * SHARE_WEIGHT
        was_probing = self._probing
        self._probing = False
        if self._share > FAILING_SHARE or was_probing:
            self._pass_over(now, FIRST_PAUSE)

    def record_unreachable(self, now: float) -> None:
        """Take in that no connection to the target came about."""
        self._probing = False
        self._pass_over(now, UNREACHABLE_PAUSE)

    def _pass_over(self, now: float, first: float) -> None:
        if now < self._until:
            return
        self._pause = min(LONGEST_PAUSE, max(first, self._pause * 2))
        self._until = now + self._pause
