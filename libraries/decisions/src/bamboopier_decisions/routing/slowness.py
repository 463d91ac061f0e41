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
TOKENS_A_SECOND = 8000.0
# A slow target is slow for everybody, a queue only for those whose workspace fills it.
# So a target is judged by the third quickest of its last eight times. With an average a
# hot caller's waits set healthy targets aside.
SAMPLES = 8
JUDGED_SAMPLE = 2
# Chance and uneven queues stay below three times the median.
SLOW_RATIO = 3.0
# A probe meets an empty target, so it must be nearly as quick as the median.
HEALED_RATIO = 2.0
# With a median below this nobody waits, whatever the ratio to it.
LEAST_MEDIAN = 0.8
# A very short prompt is quick on a slow target too, so one probe proves little.
HEALING_PROBES = 3
MAX_SHARE = 1 / 3
FIRST_ASIDE_SECONDS = 5.0
MAX_ASIDE_SECONDS = 60.0
# A probe without an answer by then is given up.
PROBE_TIMEOUT = 10.0


class Slowness:
    """How slow one target is, and whether it is set aside."""

    __slots__ = ("_aside", "_good_probes", "_probe_at", "_ratios", "_until")

    def __init__(self) -> None:
        # The last first-byte times over the expected ones.
        self._ratios: deque[float] = deque(maxlen=SAMPLES)
        self._aside = 0.0
        self._until = 0.0
        self._probe_at = 0.0
        self._good_probes = 0

    @property
    def value(self) -> float:
        """Return the judged ratio; 0 while there are too few."""
        if len(self._ratios) < SAMPLES:
            return 0.0
        return sorted(self._ratios)[JUDGED_SAMPLE]

    @property
    def is_aside(self) -> bool:
        """Say whether the target is set aside or being probed."""
        return self._aside > 0

    def may_try(self, now: float) -> bool:
        """Say whether a request, or the one probe, may go."""
        if not self.is_aside:
            return True
        return now >= self._until and now >= self._probe_at + PROBE_TIMEOUT

    def note_sent(self, now: float) -> None:
        """Count a request to a set-aside target as its probe."""
        if self.is_aside:
            self._probe_at = now

    def add(self, now: float, seconds: float, tokens: int, median: float) -> None:
        """Learn from a first byte ``seconds`` after sending ``tokens`` of prompt."""
        expected = BASE_SECONDS + tokens / TOKENS_A_SECOND
        ratio = seconds / expected
        if self.is_aside:
            self._judge_probe(now, ratio, median)
            return
        self._ratios.append(ratio)

    def set_aside(self, now: float) -> None:
        """Send no more than probes, twice as long as the last time."""
        doubled = max(FIRST_ASIDE_SECONDS, 2 * self._aside)
        self._aside = min(MAX_ASIDE_SECONDS, doubled)
        self._until = now + self._aside
        self._probe_at = now - PROBE_TIMEOUT
        self._good_probes = 0

    def _judge_probe(self, now: float, ratio: float, median: float) -> None:
        if now < self._until:
            # Sent before it was set aside.
            return
        if ratio > HEALED_RATIO * max(LEAST_MEDIAN, median):
            self.set_aside(now)
            return
        self._good_probes += 1
        self._probe_at = now - PROBE_TIMEOUT
        if self._good_probes == HEALING_PROBES:
            self._aside = 0.0
            self._ratios.clear()


def set_aside_slow(now: float, all_targets: Sequence[Slowness]) -> float:
    """Set aside the slowest where due; return the median of those judged."""
    judged = [(s.value, s) for s in all_targets if not s.is_aside]
    judged = [entry for entry in judged if entry[0] > 0]
    judged.sort(key=lambda entry: entry[0])
    if not judged:
        return 0.0
    median = judged[len(judged) // 2][0]
    room = int(len(all_targets) * MAX_SHARE)
    room -= sum(1 for slowness in all_targets if slowness.is_aside)
    for value, slowness in reversed(judged):
        if room <= 0 or value <= SLOW_RATIO * max(LEAST_MEDIAN, median):
            break
        slowness.set_aside(now)
        room -= 1
    return median
