"""Hands the events of one run to its gateway for as long as that one listens."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from bamboopier_protocol import agent_pb2 as pb

# Events a target may be ahead of a slow gateway.
MAX_BUFFERED_EVENTS = 16


class EventStream:
    """A bounded channel whose reader may leave while the writer goes on.

    A non-idempotent call that was cut half way could neither be repeated nor answered.
    Once ``detached`` it runs to its end although the gateway has left, and a repeated
    idempotency key receives its whole answer.
    """

    def __init__(self, deadline: float) -> None:
        # Seconds on the monotonic clock, counted from the request's arrival.
        self.deadline = deadline
        self._events: asyncio.Queue[pb.ServeEvent | None] = asyncio.Queue(
            MAX_BUFFERED_EVENTS
        )
        self._disconnected = False
        self.detached = False

    async def put(self, event: pb.ServeEvent | None) -> None:
        """Pass an event on, or None at the end; dropped once the gateway has left."""
        if not self._disconnected:
            await self._events.put(event)

    def disconnect(self) -> None:
        """Note that the gateway has left; a writer that waits goes on."""
        self._disconnected = True
        while not self._events.empty():
            self._events.get_nowait()

    async def read(self) -> AsyncGenerator[pb.ServeEvent]:
        """Yield the events up to the end."""
        while (event := await self._events.get()) is not None:
            yield event
