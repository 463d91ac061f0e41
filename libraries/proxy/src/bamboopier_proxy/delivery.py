"""Writes a target's response to its caller; a truncated one never looks complete."""

from __future__ import annotations

import asyncio
import select
from typing import TYPE_CHECKING

from aiohttp import web

from bamboopier_daemon.headers import drop_hop_headers, make_text

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from .messages import HeaderList

# Seconds for which a caller may accept no byte of its response.
WRITE_TIMEOUT_SECONDS = 5.0


class CallerDisconnectedError(Exception):
    """The caller disconnected, or no longer reads its response."""


class Delivery:
    """One caller's response: sent complete at once, or as a head and then chunks."""

    def __init__(
        self, request: web.BaseRequest, is_stopping: Callable[[], bool]
    ) -> None:
        self._request = request
        self._is_stopping = is_stopping
        # The response announces that the connection closes after it.
        self.close_connection = False
        self._response: web.StreamResponse | None = None
        # A write waits for the caller to read.
        self.is_writing = False

    @property
    def started(self) -> bool:
        """Return whether any part of the response was sent."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse:
        """Return the response for the HTTP server."""
        if self._response is None:
            raise RuntimeError("no response was started")
        return self._response

    @property
    def is_disconnected(self) -> bool:
        """Return whether the caller has closed its connection, or its sending half.

        Guards against a target that works for a caller that has disconnected. A process
        that resumes after a suspension finds a request, or a free slot for a waiting
        one, at the same time as the end of its caller's connection. The event loop
        reports that end one iteration later, after the request was sent. The kernel
        reports it from its arrival on, even behind unread bytes; an attempt therefore
        polls the socket after its last wait before the send. An end that arrives later
        cancels the task.
        """
        transport = self._request.transport
        if transport is None or transport.is_closing():
            # Its file descriptor may already belong to another connection.
            return True
        poll = select.poll()
        # A reset is reported without being registered for.
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    async def send(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a complete response."""
        response = web.Response(status=status, body=body)
        response.headers.popall("Content-Type", None)
        await self._start(response, headers)
        await self._finish()

    async def start(self, status: int, headers: HeaderList) -> None:
        """Send the head of a stream."""
        await self._start(web.StreamResponse(status=status), headers)

    async def write(self, data: bytes) -> None:
        """Send a chunk of a stream."""
        await self._write_with_timeout(self.response.write(data))

    async def finish(self) -> None:
        """End a complete stream."""
        if self._is_stopping():
            self.response.force_close()
        await self._finish()

    def abort(self) -> None:
        """Abort the connection, so that a truncated response does not look complete."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _start(self, response: web.StreamResponse, headers: HeaderList) -> None:
        for name, value in drop_hop_headers(headers):
            response.headers.add(name, make_text(value))
        if self.close_connection or self._is_stopping():
            response.force_close()
        self._response = response
        await self._write_with_timeout(response.prepare(self._request))

    async def _finish(self) -> None:
        """Send the last bytes of a complete response.

        A caller that closes at once after receiving them cancels this task before it
        runs again. The response still counts as delivered: it is recorded, and the
        target's connection is reused.
        """
        try:
            await self._write_with_timeout(self.response.write_eof())
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None:
                task.uncancel()

    async def _write_with_timeout(self, work: Awaitable[object]) -> None:
        self.is_writing = True
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                await work
        except (TimeoutError, ConnectionError) as error:
            raise CallerDisconnectedError(str(error) or type(error).__name__) from error
        finally:
            self.is_writing = False
