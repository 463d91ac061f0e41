"""Sets aside targets that are much slower than the others of their service.

Load pattern: one target whose accelerator throttles or whose link is bad. It answers,
so nothing breaks, yet it holds each request many times longer. Without this a share of
the callers is always slow, prompts that belong to it most of all. A set-aside target
gets one probe after a while; it returns when that is as quick as the others. At most a
third of a service's targets are set aside: when more are slow, it is the load.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Expected seconds of a first byte by which times are divided, so that long prompts do
# not count as slowness.
BASE_SECONDS = 0.1
TOKENS_PER_SECOND = 8000.0
# A slow target is slow for everybody, a queue only for those whose workspace fills it.
# So a target is judged by the third quickest of its last eight times. With an average a
# hot caller's waits set healthy targets aside.
SAMPLES = 8
JUDGED_RANK = 2
# Chance and uneven queues stay below three times the median.
EJECTION_RATIO = 3.0
# A probe meets an empty target, so it must be nearly as quick as the median.
RECOVERED_RATIO = 2.0
# With a median below this nobody waits, whatever the ratio to it.
MIN_MEDIAN = 0.8
# A very short prompt is quick on a slow target too, so one probe proves little.
RECOVERY_PROBES = 3
MAX_EJECTED_SHARE = 1 / 3
MIN_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
# A probe without an answer by then is given up.
PROBE_TIMEOUT = 10.0


class OutlierDetector:
    """How slow one target is, and whether it is set aside."""

    __slots__ = (
        "_ejection_seconds",
        "_passed_probes",
        "_probe_sent_at",
        "_ratios",
        "_ejected_until",
    )

    def __init__(self) -> None:
        # The last first-byte times over the expected ones.
        self._ratios: deque[float] = deque(maxlen=SAMPLES)
        self._ejection_seconds = 0.0
        self._ejected_until = 0.0
        self._probe_sent_at = 0.0
        self._passed_probes = 0

    @property
    def latency_ratio(self) -> float:
        """Return the judged ratio; 0 while there are too few."""
        if len(self._ratios) < SAMPLES:
            return 0.0
        return sorted(self._ratios)[JUDGED_RANK]

    @property
    def is_ejected(self) -> bool:
        """Say whether the target is set aside or being probed."""
        return self._ejection_seconds > 0

    def allows(self, now: float) -> bool:
        """Say whether a request, or the one probe, may go."""
        if not self.is_ejected:
            return True
        return now >= self._ejected_until and now >= self._probe_sent_at + PROBE_TIMEOUT

    def record_probe(self, now: float) -> None:
        """Count a request to a set-aside target as its probe."""
        if self.is_ejected:
            self._probe_sent_at = now

    def record_first_byte(
        self, now: float, seconds: float, tokens: int, median: float
    ) -> None:
        """Learn from a first byte ``seconds`` after sending ``tokens`` of prompt."""
        expected = BASE_SECONDS + tokens / TOKENS_PER_SECOND
        ratio = seconds / expected
        if self.is_ejected:
            self._judge_probe(now, ratio, median)
            return
        self._ratios.append(ratio)

    def eject(self, now: float) -> None:
        """Send no more than probes, twice as long as the last time."""
        doubled = max(MIN_EJECTION_SECONDS, 2 * self._ejection_seconds)
        self._ejection_seconds = min(MAX_EJECTION_SECONDS, doubled)
        self._ejected_until = now + self._ejection_seconds
        self._probe_sent_at = now - PROBE_TIMEOUT
        self._passed_probes = 0

    def _judge_probe(self, now: float, ratio: float, median: float) -> None:
        if now < self._ejected_until:
            # Sent before it was set aside.
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
    """Set aside the slowest where due; return the median of those judged."""
    judged = [(s.latency_ratio, s) for s in all_targets if not s.is_ejected]
    judged = [entry for entry in judged if entry[0] > 0]
    judged.sort(key=lambda entry: entry[0])
    if not judged:
        return 0.0
    median = judged[len(judged) // 2][0]
    headroom = int(len(all_targets) * MAX_EJECTED_SHARE)
    headroom -= sum(
        1 for outlier_detector in all_targets if outlier_detector.is_ejected
    )
    for ratio, outlier_detector in reversed(judged):
        if headroom <= 0 or ratio <= EJECTION_RATIO * max(MIN_MEDIAN, median):
            break
        outlier_detector.eject(now)
        headroom -= 1
    return median
