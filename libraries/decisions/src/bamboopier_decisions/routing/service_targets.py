"""One service's targets, arranged when the fleet changes so that a choice is cheap.

Load pattern: thousands of requests a second over hundreds of targets. Without it each
request would walk them all. A choice looks at a few owners and a few random others,
whatever the number of targets.
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

# Draws for each random candidate that is wanted, before giving up on it.
DRAWS_PER_CANDIDATE = 3
# Targets looked at when neither owner nor draw was usable.
MAX_SCANNED = 64
# Distinct targets passed on the ring in search of usable owners.
MAX_RING_TARGETS = 12
# Slowness moves over several answers; judging it once a second is soon enough.
OUTLIER_CHECK_SECONDS = 1.0
# At most one judgement in so many first bytes per target: it walks all targets, and a
# gateway with few requests must not pay for that with each of them.
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
        """Return up to ``count`` distinct usable targets, at random."""
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
        """Return a usable target found by looking at up to ``MAX_SCANNED``."""
        start = int(random.random() * len(self._states))
        for offset in range(min(MAX_SCANNED, len(self._states))):
            state = self._states[(start + offset) % len(self._states)]
            if is_usable(state):
                return [state]
        return []

    def list_first(self) -> Sequence[TargetState]:
        """Return as many targets as are looked at for one request."""
        return self._states[:MAX_SCANNED]

    def find_wait(self, now: float, workspace: str) -> float:
        """Return the least wait that the first targets told ``workspace``."""
        states = self.list_first()
        waits = [state.backoff.get_wait(now, workspace) for state in states]
        return min((wait for wait in waits if wait > 0), default=0.0)

    def record_first_byte(
        self, now: float, state: TargetState, seconds: float, tokens: int
    ) -> None:
        """Learn how fast ``state`` is and set the slowest aside where due."""
        state.outlier_detector.record_first_byte(now, seconds, tokens, self._median)
        self._first_bytes += 1
        few = self._first_bytes * TARGETS_PER_FIRST_BYTE < len(self._states)
        if few or now - self._checked_at < OUTLIER_CHECK_SECONDS:
            return
        self._checked_at = now
        self._first_bytes = 0
        self._median = eject_outliers(now, [s.outlier_detector for s in self._states])
