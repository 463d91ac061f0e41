"""Limits log lines about what strangers do, each of whom could fill the log."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable

# Seconds between two lines of one kind.
LINE_SECONDS = 1.0


class LineLimit:
    """Allows a line of each kind now and then, and counts what it stands for.

    Kinds must be few: none may be chosen by a stranger.
    """

    def __init__(self, read_clock: Callable[[], float] = time.monotonic) -> None:
        self._read_clock = read_clock
        # By kind: when a line was allowed, and events since.
        self._allowed_at: dict[Hashable, float] = {}
        self._unlogged: dict[Hashable, int] = {}

    def count(self, kind: Hashable) -> int:
        """Count an event; return the number that a line now stands for, 0 for none."""
        count = self._unlogged.pop(kind, 0) + 1
        now = self._read_clock()
        if now - self._allowed_at.get(kind, -LINE_SECONDS) < LINE_SECONDS:
            self._unlogged[kind] = count
            return 0
        self._allowed_at[kind] = now
        return count
