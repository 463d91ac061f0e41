"""Store VMs that failed are passed over for a while.

Load pattern: a store VM that hangs while every returning prompt asks it. Without the
pause each request would wait out its patience there before it recomputes.
"""

from __future__ import annotations

FIRST_PAUSE = 1.0
MAX_PAUSE = 30.0


class StoreVmHealth:
    """Pauses per store VM in seconds, doubled with each further failure."""

    __slots__ = ("_pauses",)

    def __init__(self) -> None:
        # Length of the last pause and its end, by VM name.
        self._pauses: dict[str, tuple[float, float]] = {}

    def record_failure(self, now: float, vm: str) -> None:
        """A store VM hung or could not be reached."""
        last, until = self._pauses.get(vm, (0.0, 0.0))
        if now < until:
            return
        pause = min(MAX_PAUSE, max(FIRST_PAUSE, last * 2))
        self._pauses[vm] = (pause, now + pause)

    def record_response(self, vm: str) -> None:
        """A store VM answered, whatever it said."""
        self._pauses.pop(vm, None)

    def is_backing_off(self, now: float, vm: str) -> bool:
        """Say whether the VM is passed over now."""
        return now < self._pauses.get(vm, (0.0, 0.0))[1]
