"""Outlier detection: ejects targets that are much slower than others of their service.

Load pattern: one target whose accelerator throttles or whose link is bad. Its requests
succeed but take many times longer. Without ejection, a share of the callers is always
slow, above all those whose prompts the target owns. An ejected target receives one
probe at a time after a while; it is readmitted when the probes are about as fast as the
other targets. At most a third of a service's targets are ejected: if more are slow, the
cause is the load.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Expected time to first byte by which measured times are divided, so that long prompts
# do not look like a slow target: seconds, plus prompt tokens over tokens per second.
BASE_SECONDS = 0.1
TOKENS_PER_SECOND = 8000.0
# A slow target is slow for every workspace, a queue only for the workspace that fills
# it. So a target is judged by the third lowest of its last eight ratios. With an
# average, the waiting times of a heavy hitter would eject healthy targets.
SAMPLES = 8
JUDGED_RANK = 2
# Random variation and uneven queues stay below three times the median.
EJECTION_RATIO = 3.0
# A probe meets an empty target, so it must be nearly as fast as the median.
RECOVERED_RATIO = 2.0
# With a lower median no request waits long, so this value is used in its place.
MIN_MEDIAN = 0.8
# A very short prompt is fast on a slow target too, so a single probe proves little.
RECOVERY_PROBES = 3
MAX_EJECTED_SHARE = 1 / 3
MIN_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
# Seconds after which a probe without a response counts as lost.
PROBE_TIMEOUT = 10.0


class OutlierDetector:
    """The latency ratio of one target, and whether the target is ejected."""

    __slots__ = (
        "_ejected_until",
        "_ejection_seconds",
        "_passed_probes",
        "_probe_sent_at",
        "_ratios",
    )

    def __init__(self) -> None:
        # The latest times to first byte over the expected ones.
        self._ratios: deque[float] = deque(maxlen=SAMPLES)
        self._ejection_seconds = 0.0
        self._ejected_until = 0.0
        self._probe_sent_at = 0.0
        self._passed_probes = 0

    @property
    def latency_ratio(self) -> float:
        """Return the ratio used to judge the target; 0 until enough were measured."""
        if len(self._ratios) < SAMPLES:
            return 0.0
        return sorted(self._ratios)[JUDGED_RANK]

    @property
    def is_ejected(self) -> bool:
        """Return whether the target is ejected, including while it is probed."""
        return self._ejection_seconds > 0

    def allows(self, now: float) -> bool:
        """Return whether a request, or the next probe, may be sent."""
        if not self.is_ejected:
            return True
        return now >= self._ejected_until and now >= self._probe_sent_at + PROBE_TIMEOUT

    def record_probe(self, now: float) -> None:
        """Record a request to an ejected target as its probe."""
        if self.is_ejected:
            self._probe_sent_at = now

    def record_first_byte(
        self, now: float, seconds: float, tokens: int, median: float
    ) -> None:
        """Record a first byte ``seconds`` after a prompt of ``tokens`` was sent.

        ``median`` is the median ratio of the service's targets.
        """
        expected = BASE_SECONDS + tokens / TOKENS_PER_SECOND
        ratio = seconds / expected
        if self.is_ejected:
            self._judge_probe(now, ratio, median)
            return
        self._ratios.append(ratio)

    def eject(self, now: float) -> None:
        """Eject the target, for twice as long as the last time."""
        doubled = max(MIN_EJECTION_SECONDS, 2 * self._ejection_seconds)
        self._ejection_seconds = min(MAX_EJECTION_SECONDS, doubled)
        self._ejected_until = now + self._ejection_seconds
        self._probe_sent_at = now - PROBE_TIMEOUT
        self._passed_probes = 0

    def _judge_probe(self, now: float, ratio: float, median: float) -> None:
        if now < self._ejected_until:
            # Sent before the target was ejected.
            return
        if ratio > RECOVERED_RATIO * max(MIN_MEDIAN, median):
            self.eject(now)
            return
        self._passed_probes += 1
        self._probe_sent_at = now - PROBE_TIMEOUT
        if self._passed_probes == RECOVERY_PROBES:
            self._ejection_seconds = 0.0
            self._ratios.clear()


def eject_outliers(now: float, all_targets: Sequence[OutlierDetector]) -> float:
    """Eject the slowest targets if due; return the median ratio of those judged."""
    judged = [(d.latency_ratio, d) for d in all_targets if not d.is_ejected]
    judged = [entry for entry in judged if entry[0] > 0]
    judged.sort(key=lambda entry: entry[0])
    if not judged:
        return 0.0
    median = judged[len(judged) // 2][0]
    headroom = int(len(all_targets) * MAX_EJECTED_SHARE)
    headroom -= sum(1 for detector in all_targets if detector.is_ejected)
    for ratio, detector in reversed(judged):
        if headroom <= 0 or ratio <= EJECTION_RATIO * max(MIN_MEDIAN, median):
            break
        detector.eject(now)
        headroom -= 1
    return median
