"""Limits on the parts of a target's response that are no body.

Guards against a target that sends without end what is no answer: kept until its end, it
would fill this process's memory.
"""

from __future__ import annotations

# Maximum bytes of a response's status line and headers, those of interim responses
# before it included, and of what follows the body.
MAX_HEAD_BYTES = 32 * 1024
MAX_TRAILER_BYTES = 8 * 1024
# Maximum bytes of chunk sizes and extensions, beyond a multiple of the body for very
# small chunks.
MAX_FRAMING_BYTES = 32 * 1024
FRAMING_FACTOR = 8
# Maximum bytes of discarded responses to other requests.
MAX_FOREIGN_BYTES = 1024 * 1024


class ResponseMeter:
    """Counts the bytes of each part of one response while they are parsed."""

    __slots__ = (
        "_body_bytes",
        "_foreign_bytes",
        "_framing_bytes",
        "_head_bytes",
        "_header_bytes",
        "_trailer_bytes",
        "in_body",
    )

    def __init__(self) -> None:
        # The head is complete, and what comes is body or framing.
        self.in_body = False
        self._head_bytes = 0
        # Names and values of complete header lines.
        self._header_bytes = 0
        self._body_bytes = 0
        self._framing_bytes = 0
        self._trailer_bytes = 0
        self._foreign_bytes = 0

    @property
    def body_bytes(self) -> int:
        """Return the bytes of the body so far."""
        return self._body_bytes

    def count_header(self, size: int) -> bool:
        """Count a complete header line; return whether it is to be kept.

        One that follows the body is not, nor one beyond the limit.
        """
        if self.in_body:
            self._trailer_bytes += size
            return False
        self._header_bytes += size
        return self._header_bytes <= MAX_HEAD_BYTES

    def count_body(self, size: int, *, is_foreign: bool) -> None:
        """Count a piece of the body, of a discarded response or of the awaited one."""
        self._body_bytes += size
        if is_foreign:
            self._foreign_bytes += size

    def count_read(self, size: int, *, was_in_body: bool, body_before: int) -> None:
        """Count what was read and parsed, by what the parser knew before it."""
        if was_in_body:
            self._framing_bytes += size - (self._body_bytes - body_before)
        else:
            self._head_bytes += size

    def find_excess(self) -> str:
        """Return the part of the response that exceeds its limit; empty if none does.

        What arrived together with the end of a head does not count as head any more.
        """
        head_bytes = self._header_bytes if self.in_body else self._head_bytes
        if head_bytes > MAX_HEAD_BYTES:
            return "head"
        if self._trailer_bytes > MAX_TRAILER_BYTES:
            return "trailer"
        allowed = MAX_FRAMING_BYTES + FRAMING_FACTOR * self._body_bytes
        if self.in_body and self._framing_bytes > allowed:
            return "framing"
        if self._foreign_bytes > MAX_FOREIGN_BYTES:
            return "discarded part"
        return ""
