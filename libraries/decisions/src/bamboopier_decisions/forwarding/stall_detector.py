"""Detects a target that has stopped responding while requests wait for it.

Load pattern: an engine is suspended for seconds. Its kernel still accepts connections
and bytes, so each request that is sent to it seems to be under way; the engine reads
them all when it resumes, long after their callers have disconnected. Nothing can take
back bytes that lie in its socket. The only sign is that no byte comes back: an engine
with streams sends one every few milliseconds, and one without streams responds about as
fast as it did before. A target that is silent for a multiple of that gets no requests
until it responds.
"""

from __future__ import annotations

# Weight of one observation in a moving average: about the last eight count.
AVERAGE_WEIGHT = 0.12
# Multiples of the average time between two bytes of running responses, and of the
# average time to the first byte, from which a target counts as stalled. Chunks of
# prompts that are prefilled between tokens, and queues, vary both several times over.
GAP_FACTOR = 10.0
FIRST_BYTE_FACTOR = 3.0
# Minimum and maximum seconds of silence from which a target counts as stalled, while
# responses are running, and while all requests wait for their first byte. A lost packet
# delays a byte by 0.2 s.
GAP_LIMITS = (0.3, 3.0)
FIRST_BYTE_LIMITS = (0.4, 3.0)
# Seconds after the last request to a stalled target until one more may probe it, if no
# request is waiting there that would show that it responds again. The entry of a target
# whose heartbeats have stopped expires after 3.6 s.
PROBE_INTERVAL_SECONDS = 2.0


class _TypicalSilence:
    """The moving average of a silence that ended, and the limit derived from it."""

    __slots__ = ("_average", "_factor", "_limits")

    def __init__(self, factor: float, limits: tuple[float, float]) -> None:
        self._factor = factor
        self._limits = limits
        self._average = 0.0

    @property
    def limit(self) -> float:
        """Return the seconds of silence from which the target counts as stalled."""
        shortest, longest = self._limits
        return min(longest, max(shortest, self._average * self._factor))

    def record(self, seconds: float) -> None:
        """Record a silence that ended; of a stall only the part up to the limit."""
        self._average += (min(seconds, self.limit) - self._average) * AVERAGE_WEIGHT


class StallDetector:
    """For how long a target has owed this gateway a byte.

    Only time in which a request waited counts: a target that owes nothing is not
    silent. All times are in seconds on one clock.
    """

    __slots__ = (
        "_first_byte",
        "_gap",
        "_in_flight",
        "_last_sent_at",
        "_owed_since",
        "_running",
        "_silence",
    )

    def __init__(self) -> None:
        self._in_flight = 0
        # Requests in flight of whose response a part was received.
        self._running = 0
        self._last_sent_at = float("-inf")
        # Time of the last byte, or since when a request has been waiting for the first.
        self._owed_since = float("-inf")
        # Silence that was observed when the last request ended without a byte.
        self._silence = 0.0
        self._gap = _TypicalSilence(GAP_FACTOR, GAP_LIMITS)
        self._first_byte = _TypicalSilence(FIRST_BYTE_FACTOR, FIRST_BYTE_LIMITS)

    @property
    def in_flight(self) -> int:
        """Return the number of requests that were sent and have not ended."""
        return self._in_flight

    def record_sent(self, now: float) -> None:
        """Record that a request was sent."""
        if self._in_flight == 0:
            self._owed_since = now - self._silence
        self._in_flight += 1
        self._last_sent_at = now

    def record_first_byte(self, now: float, seconds: float) -> None:
        """Record the first part of a response, ``seconds`` after its request."""
        self._first_byte.record(seconds)
        self.record_byte(now)
        self._running += 1

    def record_byte(self, now: float) -> None:
        """Record that any part of any response was received."""
        if self._running:
            self._gap.record(now - self._owed_since)
        self._owed_since = now
        self._silence = 0.0

    def record_end(self, now: float, *, running: bool) -> None:
        """Record that a request ended; ``running`` if it had got a first byte."""
        self._in_flight -= 1
        self._running -= running
        if self._in_flight == 0:
            self._silence = now - self._owed_since

    def find_silence(self, now: float) -> float:
        """Return the seconds in which requests waited since the last byte."""
        return now - self._owed_since if self._in_flight else self._silence

    def find_delay(self, now: float) -> float:
        """Return the silence that the requests in flight are in; 0 without any."""
        return self.find_silence(now) if self._in_flight else 0.0

    def is_stalled(self, now: float) -> bool:
        """Return whether the target has been silent for unusually long."""
        typical = self._gap if self._running else self._first_byte
        return self.find_silence(now) >= typical.limit

    def allows_request(self, now: float) -> bool:
        """Return whether a request may be sent although others could serve it."""
        if not self.is_stalled(now):
            return True
        return self.allows_probe and now - self._last_sent_at >= PROBE_INTERVAL_SECONDS

    @property
    def allows_probe(self) -> bool:
        """Return whether a request may be sent if no other target could serve it.

        While a request is waiting there, its response is the sign to go on.
        """
        return self._in_flight == 0
