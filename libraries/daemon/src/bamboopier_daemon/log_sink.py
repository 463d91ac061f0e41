"""Writes log lines to standard output, with a rate limit and without blocking.

Guards against a reader of the pipe that does not read (a blocking write would stop
every request of the process) and against an error that makes each of thousands of
requests log (the lines would cost more than the work). Lines beyond either limit are
dropped and counted; the count is logged once lines can be written again.
"""

from __future__ import annotations

import os
import select
import time
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

# Sustained rate and burst of lines: two lines for each of 400 requests a second, which
# is more than one process serves, and a burst of start-up lines.
LINES_PER_SECOND = 800.0
BURST_LINES = 2000.0
# A writable pipe accepts this many bytes; a longer write could block.
SAFE_BYTES = 4096


class LogSink:
    """A file-like object that writes or drops log lines."""

    def __init__(
        self,
        descriptor: int,
        read_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._read_clock = read_clock
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._tokens = BURST_LINES
        self._filled_at = read_clock()
        # The rest of a line that was written in part.
        self._unwritten = b""
        self.dropped = 0
        self._unreported = 0

    def write(self, text: str) -> int:
        """Write one line, or drop it."""
        if not self._acquire_token() or not self._finish_line():
            self._drop()
            return len(text)
        if self._unreported:
            line = {"event": "log lines dropped", "count": self._unreported}
            self._unreported = 0
            self._send(msgspec.json.encode(line) + b"\n")
        self._send(text.encode("utf-8", "backslashreplace"))
        return len(text)

    def flush(self) -> None:
        """Do nothing: lines are not buffered."""

    def _acquire_token(self) -> bool:
        now = self._read_clock()
        gained = (now - self._filled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _finish_line(self) -> bool:
        """Write the rest of the last line; return False while the pipe is full."""
        if self._unwritten:
            rest, self._unwritten = self._unwritten, b""
            self._send(rest)
        return not self._unwritten and self._is_writable()

    def _send(self, data: bytes) -> None:
        while data:
            if not self._is_writable():
                self._unwritten += data
                return
            try:
                written = os.write(self._descriptor, data[:SAFE_BYTES])
            except BlockingIOError:
                self._unwritten += data
                return
            except OSError:
                # The pipe is closed, so the error cannot be logged either.
                self._drop()
                return
            data = data[written:]

    def _is_writable(self) -> bool:
        return bool(self._poll.poll(0))

    def _drop(self) -> None:
        self.dropped += 1
        self._unreported += 1
