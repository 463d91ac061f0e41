"""Detects a target that has stopped responding while requests wait for it.

Load pattern: an engine is suspended for seconds. Its kernel still accepts connections
and bytes, so each request that is sent to it seems to be under way; the engine reads
them all when it resumes, long after their callers have disconnected. Nothing can take
back bytes that lie in its socket. The only sign is that no byte comes back: an engine
with streams sends one every few milliseconds, and one without streams responds about as
fast as it did before. A target that is silent for a multiple of that gets no requests
until it responds. Gateways report to each other what they observe: each alone would
send a few requests until it detects the stall.

A long prompt keeps an engine silent as well, until it has been prefilled. Of hundreds
of gateways each has a single request at an engine now and then, so that nothing else
shows that the engine works: the silence counts only from a multiple of the time in
which that prompt, and what is pending before it, should have been prefilled.
"""

from __future__ import annotations

NEVER = float("-inf")
# Weight of one observation in a moving average: about the last eight count.
AVERAGE_WEIGHT = 0.12
# Multiples of the average time between two bytes of running responses, and of the
# average time to the first byte, from which a target counts as stalled. Chunks of
# prompts that are prefilled between tokens, and queues, vary both several times over.
GAP_FACTOR = 10.0
FIRST_BYTE_FACTOR = 3.0
# Multiple of the expected time to prefill a prompt until which it explains a silence.
PREFILL_FACTOR = 2.0
# Minimum and maximum seconds of silence from which a target counts as stalled, while
# responses are running, and while all requests wait for their first byte. A lost packet
# delays a byte by 0.2 s.
GAP_LIMITS = (0.3, 3.0)
FIRST_BYTE_LIMITS = (0.4, 3.0)
# Seconds after the last request to a stalled target until one more may probe it, if no
# request is waiting there that would show that it responds again. The entry of a target
# that is suspended as a whole expires after three heartbeats of 1.2 s: one that is
# still listed then is worth a probe.
PROBE_INTERVAL_SECONDS = 4.0
# Seconds for which a report of another gateway is valid: two hints may be lost.
REPORT_SECONDS = 0.8
# Seconds by which a byte must be later than the start of a reported silence to refute
# it: the last bytes before a stall reach gateways at different moments.
REPORT_MARGIN_SECONDS = 0.1


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
        "_ended_at",
        "_first_byte",
        "_first_byte_due_at",
        "_gap",
        "_in_flight",
        "_last_sent_at",
        "_owed_since",
        "_remote_byte_at",
        "_report",
        "_running",
        "_silence",
        "_was_stalled",
        "last_byte_at",
    )

    def __init__(self) -> None:
        self._in_flight = 0
        # Requests in flight of whose response a part was received.
        self._running = 0
        self._last_sent_at = NEVER
        # Time of the last byte, or since when a request has been waiting for the first.
        self._owed_since = NEVER
        # Until when long prompts explain that there is no first byte.
        self._first_byte_due_at = NEVER
        # When the last request ended, and the silence that had been observed by then.
        self._ended_at = NEVER
        self._silence = 0.0
        # It was stalled when its last request ended, and no byte was received since.
        self._was_stalled = False
        # Time of the last byte that this gateway, or any other one, received.
        self.last_byte_at = NEVER
        self._remote_byte_at = NEVER
        # The last report that the target is stalled: when it was received, and since
        # when the target had been silent.
        self._report = (NEVER, NEVER)
        self._gap = _TypicalSilence(GAP_FACTOR, GAP_LIMITS)
        self._first_byte = _TypicalSilence(FIRST_BYTE_FACTOR, FIRST_BYTE_LIMITS)

    @property
    def in_flight(self) -> int:
        """Return the number of requests that were sent and have not ended."""
        return self._in_flight

    def record_sent(self, now: float, expected_prefill: float = 0.0) -> None:
        """Record that a request was sent.

        ``expected_prefill`` is the number of seconds in which its prompt, and what is
        pending before it, should be prefilled.
        """
        if self._in_flight == 0:
            self._owed_since = now - self._silence
            # Later requests do not delay the first byte of this one.
            self._first_byte_due_at = now + expected_prefill * PREFILL_FACTOR
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
        self._was_stalled = False
        self.last_byte_at = now

    def record_remote_byte(self, received_at: float) -> None:
        """Record when another gateway last received a byte."""
        self._remote_byte_at = max(self._remote_byte_at, received_at)
        if received_at > self._ended_at:
            self._was_stalled = False
            if self._in_flight == 0:
                self._silence = 0.0

    def record_report(self, now: float, silent_since: float) -> None:
        """Record the report of another gateway that the target is stalled."""
        self._report = (now, silent_since)

    def record_end(self, now: float, *, running: bool) -> None:
        """Record that a request ended; ``running`` if it had got a first byte."""
        self._was_stalled = self.has_detected_stall(now)
        self._in_flight -= 1
        self._running -= running
        if self._in_flight == 0:
            self._ended_at = now
            self._silence = now - max(self._owed_since, self._remote_byte_at)

    def find_silence(self, now: float) -> float:
        """Return the seconds in which requests waited since the last byte."""
        if self._in_flight:
            return now - max(self._owed_since, self._remote_byte_at)
        return self._silence

    def find_delay(self, now: float) -> float:
        """Return the silence that the requests in flight are in; 0 without any."""
        return self.find_silence(now) if self._in_flight else 0.0

    def is_stalled(self, now: float) -> bool:
        """Return whether the target has been silent for unusually long."""
        return self.has_detected_stall(now) or self._is_reported(now)

    def has_detected_stall(self, now: float) -> bool:
        """Return whether this gateway itself observed the silence."""
        if self._was_stalled:
            return True
        if self._running:
            return self.find_silence(now) >= self._gap.limit
        is_overdue = not self._in_flight or now >= self._first_byte_due_at
        return is_overdue and self.find_silence(now) >= self._first_byte.limit

    def find_reported_silence(self, now: float) -> float:
        """Return the seconds since the last byte that other gateways have to know.

        0 unless this gateway observed a stall, with requests in flight or a moment ago:
        until its next probe nothing else tells the others.
        """
        is_recent = self._in_flight or now - self._ended_at < PROBE_INTERVAL_SECONDS
        if not is_recent or not self.has_detected_stall(now):
            return 0.0
        return now - max(self._owed_since, self._remote_byte_at)

    def allows_request(self, now: float) -> bool:
        """Return whether a request may be sent although others could serve it."""
        if not self.is_stalled(now):
            return True
        return (
            self.allows_probe
            and not self._is_reported(now)
            and now - self._last_sent_at >= PROBE_INTERVAL_SECONDS
        )

    @property
    def allows_probe(self) -> bool:
        """Return whether a request may be sent if no other target could serve it.

        While a request is waiting there, its response is the sign to go on.
        """
        return self._in_flight == 0

    def _is_reported(self, now: float) -> bool:
        reported_at, silent_since = self._report
        if now - reported_at >= REPORT_SECONDS:
            return False
        last_byte_at = max(self.last_byte_at, self._remote_byte_at)
        return last_byte_at <= silent_since + REPORT_MARGIN_SECONDS
