"""Detects a target that has stopped responding while requests wait for it.

Load pattern: an engine is suspended for seconds. Its kernel still accepts connections
and bytes, so each request that is sent to it seems to be under way; the engine reads
them all when it resumes, long after their callers have disconnected. Nothing can take
back bytes that lie in its socket. The only sign is that no byte comes back.
"""

from __future__ import annotations


class StallDetector:
    """For how long a target has owed this gateway a byte.

    Only time in which a request waited counts: a target that owes nothing is not
    silent. All times are in seconds on one clock.
    """

    __slots__ = ("_in_flight", "_owed_since", "_silence")

    def __init__(self) -> None:
        self._in_flight = 0
        # Time of the last byte, or since when a request has been waiting for the first.
        self._owed_since = float("-inf")
        # Silence that was observed when the last request ended without a byte.
        self._silence = 0.0

    @property
    def in_flight(self) -> int:
        """Return the number of requests that were sent and have not ended."""
        return self._in_flight

    def record_sent(self, now: float) -> None:
        """Record that a request was sent."""
        if self._in_flight == 0:
            self._owed_since = now - self._silence
        self._in_flight += 1

    def record_byte(self, now: float) -> None:
        """Record that any part of any response was received."""
        self._owed_since = now
        self._silence = 0.0

    def record_end(self, now: float) -> None:
        """Record that a request ended, with or without a response."""
        self._in_flight -= 1
        if self._in_flight == 0:
            self._silence = now - self._owed_since

    def find_silence(self, now: float) -> float:
        """Return the seconds in which requests waited since the last byte."""
        return now - self._owed_since if self._in_flight else self._silence
