"""A target's response while it is being received."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .messages import HeaderList

# Bytes buffered for a caller that reads slowly, above which reading from the target's
# connection is paused.
HIGH_WATER_MARK_BYTES = 64 * 1024


class BrokenResponseError(Exception):
    """The response is incomplete, or is not a valid HTTP response."""


class TargetResponse:
    """Status, headers and body of a response; supports one reader at a time."""

    __slots__ = (
        "_chunks",
        "_error",
        "_buffered_bytes",
        "_pause",
        "_waiter",
        "complete",
        "ends_with_connection",
        "headers",
        "status",
    )

    def __init__(
        self,
        status: int,
        headers: HeaderList,
        pause: Callable[[bool], None],
        *,
        ends_with_connection: bool = False,
    ) -> None:
        self.status = status
        self.headers = headers
        # Without a length or chunks it ends alike whether the target completed it or
        # ended itself.
        self.ends_with_connection = ends_with_connection
        # Called with True to stop, and False to resume, reading the connection.
        self._pause = pause
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._error: str | None = None
        self.complete = False

    def feed(self, data: bytes) -> None:
        """Append a chunk of the body."""
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > HIGH_WATER_MARK_BYTES:
            self._pause(True)
        self._wake()

    def finish(self) -> None:
        """Mark the body as complete."""
        self.complete = True
        self._wake()

    def fail(self, reason: str) -> None:
        """Mark the response as broken, unless it is complete."""
        if not self.complete:
            self._error = reason
            self._wake()

    async def read(self) -> bytes:
        """Return the buffered bytes, waiting for some; empty at the end of the body.

        Raises ``BrokenResponseError`` when the response ends before it is complete.
        """
        while not self._chunks:
            if self.complete:
                return b""
            if self._error is not None:
                raise BrokenResponseError(self._error)
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        data = b"".join(self._chunks)
        self._chunks.clear()
        if self._buffered_bytes > HIGH_WATER_MARK_BYTES:
            self._pause(False)
        self._buffered_bytes = 0
        return data

    async def read_all(self, limit: int) -> bytes:
        """Return the complete body.

        Raises ``BrokenResponseError`` for an incomplete body, or for one of more than
        ``limit`` bytes.
        """
        body = bytearray()
        while data := await self.read():
            body += data
            if len(body) > limit:
                raise BrokenResponseError(f"response body exceeds {limit} bytes")
        return bytes(body)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
