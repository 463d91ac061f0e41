"""Where log lines go: standard output, bounded, and never waited for.

Failures answered: a reader of the pipe that stands still (a blocking write would stop
every request of the process), and a fault that makes each of thousands of requests log
(the lines would cost more than the work). Lines beyond either bound are dropped and
counted; the count is written once lines pass again.
"""

from __future__ import annotations

import os
import select
import time
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

# Lines a second in the long run, and at once: two lines for each of 400 requests a
# second, which is more than one process serves, and a burst of start-up lines.
LINES_PER_SECOND = 800.0
BURST_LINES = 2000.0
# A pipe that is writable has room for this much; a longer write could block.
SAFE_BYTES = 4096


class LogSink:
    """A file-like object for log lines."""

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
        # The rest of a line of which the beginning is written.
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
        """Do nothing: lines are not held back."""

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
        """Write what is left of the last line; False while the pipe is full."""
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
                # Nobody reads any more; there is no one left to tell.
                self._drop()
                return
            data = data[written:]

    def _is_writable(self) -> bool:
        return bool(self._poll.poll(0))

    def _drop(self) -> None:
        self.dropped += 1
        self._unreported += 1
