"""Passes the events of one run to its gateway until the gateway disconnects."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from bamboopier_protocol import agent_pb2 as pb

# Events buffered for a gateway that reads more slowly than the target writes.
MAX_BUFFERED_EVENTS = 16


class EventStream:
    """A bounded channel whose reader may disconnect while the writer continues.

    A non-idempotent call that is cancelled halfway can neither be repeated nor
    answered. Once ``detached`` is set, it runs to its end even if the gateway
    disconnects, and a caller that repeats the idempotency key receives the complete
    response.
    """

    def __init__(self, deadline: float) -> None:
        # Time on the monotonic clock in seconds, set when the request arrives.
        self.deadline = deadline
        self._events: asyncio.Queue[pb.ServeEvent | None] = asyncio.Queue(
            MAX_BUFFERED_EVENTS
        )
        self._disconnected = False
        self.detached = False

    async def put(self, event: pb.ServeEvent | None) -> None:
        """Send an event, or None at the end; drop it if the gateway has disconnected.

        Waits while the buffer is full.
        """
        if not self._disconnected:
            await self._events.put(event)

    def disconnect(self) -> None:
        """Mark the gateway as disconnected and release a writer that waits."""
        self._disconnected = True
        while not self._events.empty():
            self._events.get_nowait()

    async def read(self) -> AsyncGenerator[pb.ServeEvent]:
        """Yield the events until the end of the run."""
        while (event := await self._events.get()) is not None:
            yield event
