"""Sets aside targets that are much slower than the others of their service.

Load pattern: one target whose accelerator throttles or whose link is bad. It answers,
so nothing breaks, yet it holds each request many times longer. Without this a share of
the callers is always slow, prompts that belong to it most of all. A set-aside target
gets one probe after a while; it returns when that is as quick as the others. At most a
third of a service's targets are set aside: when more are slow, it is the load.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Expected seconds of a first byte by which times are divided, so that long prompts do
# not count as slowness.
BASE_SECONDS = 0.1
TOKENS_A_SECOND = 8000.0
SMOOTHING = 0.2
MIN_SAMPLES = 8
# One short prompt behind a very long one must not set its target aside.
MAX_RATIO = 8.0
# Chance and uneven queues stay below three times the median.
SLOW_RATIO = 3.0
# A probe meets an empty target, so it must be nearly as quick as the median.
HEALED_RATIO = 2.0
# A very short prompt is quick on a slow target too, so one probe proves little.
HEALING_PROBES = 3
MAX_SHARE = 1 / 3
FIRST_ASIDE_SECONDS = 5.0
MAX_ASIDE_SECONDS = 60.0
# A probe without an answer by then is given up.
PROBE_TIMEOUT = 10.0


class Slowness:
    """How slow one target is, and whether it is set aside."""

    __slots__ = ("_aside", "_good_probes", "_probe_at", "_until", "samples", "value")

    def __init__(self) -> None:
        # Smoothed first-byte time over the expected one.
        self.value = 0.0
        self.samples = 0
        self._aside = 0.0
        self._until = 0.0
        self._probe_at = 0.0
        self._good_probes = 0

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
        ratio = min(MAX_RATIO, seconds / expected)
        if self.is_aside:
            self._judge_probe(now, ratio, median)
            return
        self.samples += 1
        if self.samples == 1:
            self.value = ratio
        self.value += SMOOTHING * (ratio - self.value)

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
        if ratio > HEALED_RATIO * max(1.0, median):
            self.set_aside(now)
            return
        self._good_probes += 1
        self._probe_at = now - PROBE_TIMEOUT
        if self._good_probes == HEALING_PROBES:
            self._aside = 0.0
            self.samples = 0


def set_aside_slow(now: float, all_targets: Sequence[Slowness]) -> float:
    """Set aside the slowest where due; return the median of those judged."""
    judged = [s for s in all_targets if s.samples >= MIN_SAMPLES and not s.is_aside]
    judged.sort(key=lambda slowness: slowness.value)
    if not judged:
        return 0.0
    median = judged[len(judged) // 2].value
    room = int(len(all_targets) * MAX_SHARE)
    room -= sum(1 for slowness in all_targets if slowness.is_aside)
    for slowness in reversed(judged):
        if room <= 0 or slowness.value <= SLOW_RATIO * max(1.0, median):
            break
        slowness.set_aside(now)
        room -= 1
    return median
