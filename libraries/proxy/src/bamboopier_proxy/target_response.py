"""One target's answer while it arrives."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .messages import HeaderList

# Bytes held for a caller that reads slowly, before the target's connection is no
# longer read.
HIGH_WATER_MARK_BYTES = 64 * 1024


class BrokenResponseError(Exception):
    """The answer ended before it was whole, or is no answer in the protocol."""


class TargetResponse:
    """Status, headers and body of one answer. One reader at a time."""

    __slots__ = (
        "_chunks",
        "_error",
        "_buffered_bytes",
        "_pause",
        "_waiter",
        "complete",
        "headers",
        "status",
    )

    def __init__(
        self, status: int, headers: HeaderList, pause: Callable[[bool], None]
    ) -> None:
        self.status = status
        self.headers = headers
        # Called with True to stop, and False to resume, reading the connection.
        self._pause = pause
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._error: str | None = None
        self.complete = False

    def feed(self, data: bytes) -> None:
        """Take a piece of the body."""
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > HIGH_WATER_MARK_BYTES:
            self._pause(True)
        self._wake()

    def finish(self) -> None:
        """Take in that the body is whole."""
        self.complete = True
        self._wake()

    def fail(self, reason: str) -> None:
        """Take in that nothing more comes."""
        if not self.complete:
            self._error = reason
            self._wake()

    async def read(self) -> bytes:
        """Return what has arrived; empty at the end; raises ``BrokenResponseError``."""
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
        """Return the whole body; raises ``BrokenResponseError`` above ``limit`` bytes."""
        body = bytearray()
        while data := await self.read():
            body += data
            if len(body) > limit:
                raise BrokenResponseError(f"more than {limit} bytes")
        return bytes(body)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
