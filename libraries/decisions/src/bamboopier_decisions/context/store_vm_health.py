"""Skips store VMs that failed, for a back-off time.

Load pattern: a store VM that hangs while every returning prompt reads from it. Without
the back-off each request would wait for its timeout there before it recomputes.
"""

from __future__ import annotations

INITIAL_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 30.0


class StoreVmHealth:
    """Back-off times per store VM in seconds, doubled with each further failure."""

    __slots__ = ("_backoffs",)

    def __init__(self) -> None:
        # Length of the last back-off and its end, by VM name.
        self._backoffs: dict[str, tuple[float, float]] = {}

    def record_failure(self, now: float, vm: str) -> None:
        """Record that a store VM hung or could not be reached."""
        last, until = self._backoffs.get(vm, (0.0, 0.0))
        if now < until:
            return
        backoff = min(MAX_BACKOFF_SECONDS, max(INITIAL_BACKOFF_SECONDS, last * 2))
        self._backoffs[vm] = (backoff, now + backoff)

    def record_response(self, vm: str) -> None:
        """Record a response of a store VM, whatever its status."""
        self._backoffs.pop(vm, None)

    def is_backing_off(self, now: float, vm: str) -> bool:
        """Return whether the VM is skipped now."""
        return now < self._backoffs.get(vm, (0.0, 0.0))[1]
