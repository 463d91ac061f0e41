"""Measures how much a client has sent lately."""

from __future__ import annotations

# Seconds over which bytes are counted.
WINDOW_SECONDS = 2.0


class Pace:
    """Bytes a second in the last window, or the current one if that has more."""

    __slots__ = ("_bytes", "_last", "_since")

    def __init__(self, now: float) -> None:
        self._since = now
        self._bytes = 0
        # Bytes in the window before the current one.
        self._last = 0

    def add(self, size: int, now: float) -> None:
        """Count bytes that were received."""
        self._turn_over(now)
        self._bytes += size

    def measure(self, now: float) -> float:
        """Return the bytes a second; 0 two windows after the last one."""
        self._turn_over(now)
        return max(self._bytes, self._last) / WINDOW_SECONDS

    def _turn_over(self, now: float) -> None:
        windows = int((now - self._since) / WINDOW_SECONDS)
        if windows > 0:
            self._last = self._bytes if windows == 1 else 0
            self._bytes = 0
            self._since += windows * WINDOW_SECONDS
