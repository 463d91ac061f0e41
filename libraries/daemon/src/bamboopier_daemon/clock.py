"""The clock of deadlines, leases and proofs."""

from __future__ import annotations

import time


def read_clock() -> float:
    """Return seconds on a clock that also counts while the machine is suspended.

    The event loop's own clock stands still meanwhile: a deadline judged by it would
    pass too late after a thaw, and work would start that its caller gave up long ago.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
