"""One read that is made again on a new connection if it gets no response in time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import structlog
from result import Err, Result

from .errors import NotConnectedError, PlatformError, ResponseTooLargeError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from .reply import Reply

    Outcome = Result[Reply, PlatformError]
    Call = Callable[..., Coroutine[Any, Any, Outcome]]

# Minimum seconds that the second call has.
MIN_SECOND_SECONDS = 0.5

log = structlog.get_logger()


class RepeatedCall:
    """Two GET calls for the same, of which the first response is taken."""

    def __init__(
        self,
        call: Call,
        path: str,
        call_timeout: float,
        on_response: Callable[[], None] | None,
    ) -> None:
        self._call = call
        self._path = path
        self._call_timeout = call_timeout
        self._on_response = on_response
        # Calls in flight, and the one whose response has begun to arrive.
        self._tasks: dict[asyncio.Task[Outcome], bool] = {}
        self._responding: asyncio.Task[Outcome] | None = None
        self._changed = asyncio.Event()

    async def run(self, repeat_after: float) -> Outcome:
        """Return the response, or the error of the last call."""
        try:
            first = self._start(self._call_timeout, new_connection=False)
            outcome = await self._wait(repeat_after)
            if outcome is None and self._responding is not None:
                outcome = await first
            if outcome is not None and not _may_repeat(outcome):
                return outcome
            reason = "no response" if outcome is None else str(outcome.err())
            # A response that broke off is none.
            self._responding = None
            left = max(MIN_SECOND_SECONDS, self._call_timeout - repeat_after)
            second = self._start(left, new_connection=True)
            outcome = await self._wait_for_response()
            log.info(
                "call repeated",
                path=self._path,
                reason=reason,
                answered=outcome.is_ok(),
                new_connection=self._responding is second,
            )
            return outcome
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start(self, seconds: float, *, new_connection: bool) -> asyncio.Task[Outcome]:
        task: asyncio.Task[Outcome]

        def record_response() -> None:
            if self._responding is not None:
                return
            self._responding = task
            self._changed.set()
            # A weak link would transfer a large response twice.
            for other in self._tasks.keys() - {task}:
                other.cancel()
            if self._on_response is not None:
                self._on_response()

        task = asyncio.create_task(
            self._call(
                "GET",
                self._path,
                first_byte_timeout=seconds,
                on_response=record_response,
                new_connection=new_connection,
            )
        )
        self._tasks[task] = new_connection
        task.add_done_callback(lambda _: self._changed.set())
        return task

    async def _wait(self, seconds: float) -> Outcome | None:
        """Wait for the only call; None if it has not ended when it is to be repeated.

        A response that has begun to arrive is waited for no longer here.
        """
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return None
        (task,) = self._tasks
        return task.result() if task.done() else None

    async def _wait_for_response(self) -> Outcome:
        """Return the first response, or the error of the call that failed last."""
        while True:
            if self._responding is not None:
                return await self._responding
            pending = [task for task in self._tasks if not task.done()]
            if not pending:
                return self._find_new_connections_outcome()
            self._changed.clear()
            await self._changed.wait()

    def _find_new_connections_outcome(self) -> Outcome:
        (task,) = (task for task, is_new in self._tasks.items() if is_new)
        return task.result()


def _may_repeat(outcome: Outcome) -> bool:
    """Return whether a call failed in a way that a new connection may mend."""
    return isinstance(outcome, Err) and not isinstance(
        outcome.err_value, (NotConnectedError, ResponseTooLargeError)
    )
