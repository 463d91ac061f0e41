"""Reads a process's memory and processor time from the operating system."""

from __future__ import annotations

import os
from pathlib import Path

_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE = os.sysconf("SC_PAGE_SIZE")


def read_memory(pid: int) -> float:
    """Return the resident megabytes of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * _PAGE / 1e6


def read_cpu(pid: int) -> float:
    """Return the processor seconds that a process has used, in steps of 0.01 s."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS
