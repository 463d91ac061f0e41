"""Shuts a daemon down: gracefully at the first signal, at once at the second."""

from __future__ import annotations

import asyncio
import signal
from enum import StrEnum
from typing import TYPE_CHECKING, Any, Self

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from types import TracebackType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ShutdownOutcome(StrEnum):
    """The reason why a graceful shutdown stopped waiting."""

    IDLE = "idle"
    TIMEOUT = "timeout"
    SECOND_SIGNAL = "second-signal"


class StopSignals:
    """Counts SIGTERM and SIGINT while the context is open."""

    def __init__(self) -> None:
        self._first = asyncio.Event()
        self._second = asyncio.Event()

    def __enter__(self) -> Self:
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._count)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Keep the handlers: a late signal must not interrupt the clean-up."""

    def _count(self) -> None:
        if self._first.is_set():
            self._second.set()
        self._first.set()

    async def wait_for_first(self) -> None:
        """Return after the first signal."""
        await self._first.wait()

    async def wait_until(
        self, idle: Coroutine[Any, Any, None], timeout: float
    ) -> ShutdownOutcome:
        """Wait for ``idle``, at most ``timeout`` seconds and until a second signal.

        The caller of this method then cancels the requests that are still open and must
        report to each what is known about its outcome.
        """
        work = asyncio.ensure_future(idle)
        second = asyncio.ensure_future(self._second.wait())
        try:
            await asyncio.wait(
                {work, second}, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
            )
            if work.done():
                return ShutdownOutcome.IDLE
            return (
                ShutdownOutcome.SECOND_SIGNAL
                if second.done()
                else ShutdownOutcome.TIMEOUT
            )
        finally:
            work.cancel()
            second.cancel()
