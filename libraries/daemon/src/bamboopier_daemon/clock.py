"""The clock for deadlines, leases and freshness."""

from __future__ import annotations

import time


def read_clock() -> float:
    """Return seconds on a clock that continues while the machine is suspended.

    The clock of the event loop does not: a deadline measured by it would expire too
    late after a resume, and work would start whose caller has already timed out.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
