"""Reports entries of the store that cannot be read, at a bounded rate.

Guards against a log that is full of one entry, which is read again with each list and
with each write of whoever writes it, and against thousands of them at once.
"""

from __future__ import annotations

import time
from functools import cache

import structlog

# Time for which an entry that was reported is only counted.
SILENCE_SECONDS = 60.0
# Entries that are reported within that time.
MAX_REPORTED = 100
# Length of the key and of the reason in a log line.
MAX_TEXT = 200

log = structlog.get_logger()


class InvalidEntries:
    """Counts what cannot be read, and reports each entry once in a while."""

    def __init__(self) -> None:
        # Entries read in vain since the start, each time that they were read.
        self.count = 0
        self._reported_at: dict[str, float] = {}

    def report(self, key: str, reason: str, **fields: str) -> None:
        """Record that the entry ``key`` was ignored; ``fields`` go into the log."""
        self.count += 1
        now = time.monotonic()
        if self._is_silent(key, now):
            return
        self._reported_at.pop(key, None)
        self._reported_at[key] = now
        log.warning(
            "invalid entry ignored",
            key=key[:MAX_TEXT],
            reason=reason[:MAX_TEXT],
            ignored=self.count,
            **fields,
        )

    def _is_silent(self, key: str, now: float) -> bool:
        if now - self._reported_at.get(key, -SILENCE_SECONDS) < SILENCE_SECONDS:
            return True
        if len(self._reported_at) < MAX_REPORTED:
            return False
        # The table is in the order of the times.
        oldest = next(iter(self._reported_at))
        if now - self._reported_at[oldest] < SILENCE_SECONDS:
            return True
        del self._reported_at[oldest]
        return False


@cache
def open_invalid_entries() -> InvalidEntries:
    """Return the one of this process."""
    return InvalidEntries()
