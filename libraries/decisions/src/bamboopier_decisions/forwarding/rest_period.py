"""The rest that a target asked this gateway for.

Load pattern: an overloaded engine rejects requests, and each rejection costs it time
that it does not have. It states for how long it wants nothing from the gateway it
answers. When that time is over, requests are waiting for it: all of them at once would
overload it again. The first response after a rest admits a second request, and so on,
so that the number in flight at most doubles with each response time.

All times are in seconds on one clock.
"""

from __future__ import annotations

NEVER = float("-inf")
# Maximum rest that is granted at once; a target that wants more asks again.
MAX_REST_SECONDS = 600.0
# Responses after a rest from which the target gets requests as usual.
RAMP_RESPONSES = 8


class RestPeriod:
    """Whether a target rests, and how many requests it gets right after that."""

    __slots__ = ("_in_flight", "_responses", "until")

    def __init__(self) -> None:
        # When the rest that was asked for last ends.
        self.until = NEVER
        # Requests in flight that were sent since then, and responses to such requests.
        self._in_flight = 0
        self._responses = RAMP_RESPONSES

    def record_rest(self, now: float, seconds: float) -> bool:
        """Record that the target asks for rest; return whether that extends it.

        A value of zero or less asks for none.
        """
        until = now + min(seconds, MAX_REST_SECONDS)
        if seconds <= 0 or until <= self.until:
            return False
        self.until = until
        self._responses = 0
        return True

    def is_resting(self, now: float) -> bool:
        """Return whether the target wants no request now."""
        return now < self.until

    def allows_request(self, now: float) -> bool:
        """Return whether a request may be sent."""
        if self.is_resting(now):
            return False
        return not self._is_ramping or self._in_flight <= self._responses

    def record_sent(self) -> bool:
        """Record a request that is sent; return whether its end has to be recorded."""
        if not self._is_ramping:
            return False
        self._in_flight += 1
        return True

    def record_response(self) -> None:
        """Record the first part of a response that does not ask for rest."""
        self._responses = min(RAMP_RESPONSES, self._responses + 1)

    def record_end(self) -> None:
        """Record the end of a request for which ``record_sent`` returned True."""
        self._in_flight -= 1

    @property
    def _is_ramping(self) -> bool:
        return self._responses < RAMP_RESPONSES
