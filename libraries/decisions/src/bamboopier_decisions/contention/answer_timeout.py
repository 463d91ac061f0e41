"""Learns for how long the answer to a datagram is worth waiting for.

Load pattern: a crowd fills a gateway's narrow link with prompts, and small datagrams
wait behind them. Answers that took a millisecond then take thirty. With a fixed timeout
every answer would be lost just when the loads of targets matter most, and requests
would be placed without them, beyond what engines hold.
"""

from __future__ import annotations

# Seconds for which an answer is awaited at least and at most: a few round trips within
# a region, and an eighth of the shortest latency objective that callers usually have.
MIN_SECONDS, MAX_SECONDS = 0.01, 0.05
# Seconds from which an answer says nothing about the link: the process was suspended.
MAX_SAMPLE_SECONDS = 0.25
# Weights of one answer in the moving mean, and in its deviation, as for the timeouts of
# retransmission.
MEAN_WEIGHT, DEVIATION_WEIGHT = 1 / 8, 1 / 4
# Deviations above the mean within which nearly all answers come.
DEVIATIONS = 4.0


class AnswerTimeout:
    """A moving estimate from the answers of all processes on one link."""

    __slots__ = ("_deviation", "_mean")

    def __init__(self) -> None:
        self._mean = 0.0
        self._deviation = 0.0

    @property
    def seconds(self) -> float:
        """Return for how long an answer is awaited."""
        expected = self._mean + DEVIATIONS * self._deviation
        return min(MAX_SECONDS, max(MIN_SECONDS, expected))

    def record_answer(self, seconds: float) -> None:
        """Record an answer that came ``seconds`` after its question, in time or not."""
        if seconds > MAX_SAMPLE_SECONDS:
            return
        difference = seconds - self._mean
        self._mean += difference * MEAN_WEIGHT
        self._deviation += (abs(difference) - self._deviation) * DEVIATION_WEIGHT
