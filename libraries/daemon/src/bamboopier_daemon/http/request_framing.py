"""Cuts what a client sends into heads and bodies, within limits.

The server's parser gets a head once it is complete, and each body without the client's
own chunks. What it would hold of an unfinished head, or spend on small chunks, is thus
known beforehand, and bounded.
"""

from __future__ import annotations

import enum

from .chunked_body import ChunkedBody, InvalidChunkError
from .limits import Problem

# Each ends a head; the second is invalid, which the server's parser reports.
_HEAD_ENDS = (b"\n\r\n", b"\n\n")
# Bytes that a request line may begin with. Others are passed on, for the error.
_LETTERS = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz")
# Framing that is allowed besides a body's limit, as a multiple of the body so far: a
# chunk of one byte takes six.
FRAMING_FACTOR = 8


class FramingError(Exception):
    """The client exceeds a limit, or sends no valid body."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.value)
        self.problem = problem


class Stage(enum.Enum):
    """What the next bytes belong to."""

    HEAD = enum.auto()
    # The head was taken; ``begin_body`` follows.
    HEAD_TAKEN = enum.auto()
    LENGTH = enum.auto()
    CHUNKS = enum.auto()
    # The request is complete; bytes of the next one wait.
    COMPLETE = enum.auto()


class RequestFraming:
    """The requests on one connection, one after the other."""

    __slots__ = (
        "_body_bytes",
        "_buffer",
        "_chunks",
        "_empty_bytes",
        "_head_bytes",
        "_remaining",
        "_searched",
        "stage",
    )

    def __init__(self, head_bytes: int, body_bytes: int) -> None:
        self._head_bytes = head_bytes
        self._body_bytes = body_bytes
        self._buffer = b""
        # Bytes of the buffer in which no head ends.
        self._searched = 0
        # Bytes of empty lines before the current request.
        self._empty_bytes = 0
        # Bytes of a body with a length that are still to come.
        self._remaining = 0
        self._chunks: ChunkedBody | None = None
        self.stage = Stage.HEAD

    @property
    def held_bytes(self) -> int:
        """Return the bytes that were received and not taken."""
        return len(self._buffer)

    @property
    def has_begun(self) -> bool:
        """Return whether a head has begun and is not complete."""
        return self.stage is Stage.HEAD and (len(self._buffer) + self._empty_bytes) > 0

    @property
    def precedes_garbage(self) -> bool:
        """Return whether what follows a complete request begins no other one."""
        if self.stage is not Stage.COMPLETE or not self._buffer:
            return False
        return self._buffer[0] not in _LETTERS and self._buffer[0] not in b"\r\n"

    def receive(self, data: bytes) -> None:
        """Add what was received."""
        self._buffer = self._buffer + data if self._buffer else data

    def take(self) -> bytes:
        """Return the next bytes for the server's parser, empty if there are none yet.

        Raises ``FramingError``.
        """
        if not self._buffer:
            return b""
        if self.stage is Stage.HEAD:
            return self._take_head()
        if self.stage is Stage.LENGTH:
            return self._take_length()
        if self.stage is Stage.CHUNKS:
            return self._take_chunks()
        return b""

    def begin_body(self, length: int, *, chunked: bool) -> None:
        """Expect the body that the head which was taken announces."""
        self._remaining = length
        if chunked:
            self._chunks = ChunkedBody()
            self.stage = Stage.CHUNKS
        else:
            self.stage = Stage.LENGTH if length else Stage.COMPLETE

    def begin_request(self) -> None:
        """Expect the next request, once the response to the last one is sent."""
        self.stage = Stage.HEAD
        self._chunks = None
        self._searched = 0
        self._empty_bytes = 0

    def clear(self) -> None:
        """Drop what was received and not taken."""
        self._buffer = b""

    def _take_head(self) -> bytes:
        self._skip_empty_lines()
        end = self._find_head_end()
        if end == 0 and self._buffer and self._buffer[0] not in _LETTERS:
            end = len(self._buffer)
        if (end or len(self._buffer)) > self._head_bytes:
            self._check_head(end or len(self._buffer))
        if end == 0:
            return b""
        self.stage = Stage.HEAD_TAKEN
        return self._cut(end)

    def _check_head(self, size: int) -> None:
        """Raise ``FramingError`` if the request line or the fields are too long."""
        line_end = self._buffer.find(b"\n", 0, size) + 1
        line = line_end or size
        if max(line, size - line) > self._head_bytes + len(b"\r\n"):
            raise FramingError(Problem.HEAD_TOO_LARGE)

    def _skip_empty_lines(self) -> None:
        """Drop empty lines before a request; they count as bytes of its head."""
        if self._searched or not self._buffer.startswith((b"\r", b"\n")):
            return
        rest = self._buffer.lstrip(b"\r\n")
        self._empty_bytes += len(self._buffer) - len(rest)
        self._buffer = rest
        if self._empty_bytes > self._head_bytes:
            raise FramingError(Problem.HEAD_TOO_LARGE)

    def _find_head_end(self) -> int:
        """Return the length of a complete head, 0 if it is not complete."""
        start = max(0, self._searched - 2)
        self._searched = len(self._buffer)
        usual, invalid = _HEAD_ENDS
        found = self._buffer.find(usual, start)
        end = found + len(usual) if found >= 0 else 0
        found = self._buffer.find(invalid, start, end or len(self._buffer))
        return found + len(invalid) if found >= 0 else end

    def _take_length(self) -> bytes:
        piece = self._cut(min(self._remaining, len(self._buffer)))
        self._remaining -= len(piece)
        if self._remaining == 0:
            self.stage = Stage.COMPLETE
        return piece

    def _take_chunks(self) -> bytes:
        """Return what was received of a chunked body, as one chunk."""
        chunks = self._chunks
        assert chunks is not None
        data = self._cut(len(self._buffer))
        try:
            body, rest = chunks.decode(data)
        except InvalidChunkError as error:
            raise FramingError(Problem.INVALID_BODY) from error
        framing = chunks.wire_bytes - chunks.body_bytes
        if framing > self._body_bytes + FRAMING_FACTOR * chunks.body_bytes:
            raise FramingError(Problem.FRAMING_TOO_LARGE)
        piece = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        if chunks.complete:
            self._buffer += rest
            self.stage = Stage.COMPLETE
            piece += b"0\r\n\r\n"
        return piece

    def _cut(self, size: int) -> bytes:
        """Remove and return the first bytes of the buffer."""
        piece = self._buffer[:size]
        self._buffer = self._buffer[size:]
        return piece
