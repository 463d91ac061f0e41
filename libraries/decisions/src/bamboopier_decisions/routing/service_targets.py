"""The targets of one service, indexed on a change of the fleet for cheap lookups.

Load pattern: thousands of requests per second over hundreds of targets. Without the
index each request would scan all of them. A choice examines a few owners and a few
random others, independent of the number of targets.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .hash_ring import HashRing
from .messages import Distance
from .outlier_detection import eject_outliers

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from .target_state import TargetState

# Random draws per candidate before the search stops with fewer candidates.
DRAWS_PER_CANDIDATE = 3
# Targets examined if no owner and no random candidate was usable.
MAX_SCANNED = 64
# Distinct targets examined on the ring in search of usable owners.
MAX_RING_TARGETS = 12
# Latency ratios change over several responses, so a check once a second is sufficient.
OUTLIER_CHECK_SECONDS = 1.0
# A check requires one first byte per this many targets since the last one: it scans all
# targets, so a gateway with few requests must not run it for each of them.
TARGETS_PER_FIRST_BYTE = 8


class ServiceTargets:
    """The targets that may serve one service."""

    def __init__(
        self, states: Sequence[TargetState], points: Sequence[tuple[int, ...]]
    ) -> None:
        self._states = states
        near = [s for s in states if s.view.distance is not Distance.OTHER_REGION]
        self._near = near or states
        self._ring = HashRing(points)
        self._checked_at = 0.0
        self._first_bytes = 0
        self._median = 0.0

    def __len__(self) -> int:
        return len(self._states)

    def find_owners(
        self, key: bytes, count: int, is_usable: Callable[[TargetState], bool]
    ) -> list[TargetState]:
        """Return the first ``count`` usable owners of ``key``."""
        seen: set[int] = set()
        owners: list[TargetState] = []
        for index in self._ring.walk(key):
            if index in seen:
                continue
            seen.add(index)
            if is_usable(self._states[index]):
                owners.append(self._states[index])
            if len(owners) == count or len(seen) == MAX_RING_TARGETS:
                break
        return owners

    def pick_random(
        self,
        count: int,
        is_usable: Callable[[TargetState], bool],
        random: random.Random,
    ) -> list[TargetState]:
        """Return up to ``count`` distinct usable targets, picked at random."""
        picked: list[TargetState] = []
        for _ in range(DRAWS_PER_CANDIDATE * count):
            state = self._near[int(random.random() * len(self._near))]
            if state not in picked and is_usable(state):
                picked.append(state)
            if len(picked) == count:
                break
        return picked

    def scan(
        self, is_usable: Callable[[TargetState], bool], random: random.Random
    ) -> list[TargetState]:
        """Return the first usable of ``MAX_SCANNED`` targets from a random start."""
        start = int(random.random() * len(self._states))
        for offset in range(min(MAX_SCANNED, len(self._states))):
            state = self._states[(start + offset) % len(self._states)]
            if is_usable(state):
                return [state]
        return []

    def list_first(self) -> Sequence[TargetState]:
        """Return the first ``MAX_SCANNED`` targets."""
        return self._states[:MAX_SCANNED]

    def find_wait(self, now: float, workspace: str) -> float:
        """Return the least back-off seconds of ``workspace``; 0 if it has none."""
        states = self.list_first()
        waits = [state.backoff.get_wait(now, workspace) for state in states]
        return min((wait for wait in waits if wait > 0), default=0.0)

    def record_first_byte(
        self, now: float, state: TargetState, seconds: float, tokens: int
    ) -> None:
        """Record a time to first byte; eject outliers if a check is due."""
        state.outlier_detector.record_first_byte(now, seconds, tokens, self._median)
        self._first_bytes += 1
        few = self._first_bytes * TARGETS_PER_FIRST_BYTE < len(self._states)
        if few or now - self._checked_at < OUTLIER_CHECK_SECONDS:
            return
        self._checked_at = now
        self._first_bytes = 0
        self._median = eject_outliers(now, [s.outlier_detector for s in self._states])
