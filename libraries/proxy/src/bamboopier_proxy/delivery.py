"""Writes a target's answer to its caller, so that a part never looks whole."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING

from aiohttp import web

from bamboopier_daemon.headers import drop_hop_headers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .messages import HeaderList

# Seconds a caller may take no byte of its answer.
WRITE_TIMEOUT_SECONDS = 5.0


class CallerDisconnectedError(Exception):
    """The caller left, or takes nothing more."""


class Delivery:
    """One caller's answer: whole at once, or a head and then pieces."""

    def __init__(
        self, request: web.BaseRequest, is_stopping: Callable[[], bool]
    ) -> None:
        self._request = request
        self._is_stopping = is_stopping
        # The connection cannot be used again.
        self.close_connection = False
        self._response: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Say whether the caller has received anything."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse:
        """Return the response for the HTTP server."""
        if self._response is None:
            raise RuntimeError("no answer was begun")
        return self._response

    @property
    def is_disconnected(self) -> bool:
        """Say whether the caller's connection has ended, or its sending half.

        Failure answered: a process that stood still finds a request, or a place for one
        that waits, together with the end of its caller's connection. The event loop
        tells of the end a turn later, when a target already works for nobody. The
        kernel knows of it from the moment it arrives, behind whatever is unread, and
        all waits of a send are over when it is asked. An end that arrives later cancels
        the task as ever.
        """
        transport = self._request.transport
        if transport is None or transport.is_closing():
            # Its descriptor may already be another connection's.
            return True
        poll = select.poll()
        # A reset shows without being asked for.
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    async def send(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a whole answer."""
        response = web.Response(status=status, body=body)
        response.headers.popall("Content-Type", None)
        await self._start(response, headers)
        await self._finish()

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the head of a stream."""
        await self._start(web.StreamResponse(status=status), headers)

    async def write(self, data: bytes) -> None:
        """Send a piece of a stream."""
        await self._write_with_timeout(self.response.write(data))

    async def finish(self) -> None:
        """End a whole stream."""
        if self._is_stopping():
            self.response.force_close()
        await self._finish()

    def abort(self) -> None:
        """End the connection: what was sent is a part and must look like one."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _start(self, response: web.StreamResponse, headers: HeaderList) -> None:
        for name, value in drop_hop_headers(headers):
            response.headers.add(name, value)
        if self.close_connection or self._is_stopping():
            response.force_close()
        self._response = response
        await self._write_with_timeout(response.prepare(self._request))

    async def _finish(self) -> None:
        """Send the last bytes of a whole answer.

        A caller that has them and closes at once cancels this task before it runs
        again. The answer is served all the same: its target's connection is kept, and
        it is counted.
        """
        try:
            await self._write_with_timeout(self.response.write_eof())
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None:
                task.uncancel()

    async def _write_with_timeout(self, work: Awaitable[object]) -> None:
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                await work
        except (TimeoutError, ConnectionError) as error:
            raise CallerDisconnectedError(str(error) or type(error).__name__) from error
