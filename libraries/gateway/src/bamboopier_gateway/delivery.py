"""Writes a target's response to its caller; a truncated one never looks complete."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from aiohttp import web

from bamboopier_daemon.headers import drop_hop_headers

if TYPE_CHECKING:
    from bamboopier_protocol.agent_pb2 import ResponseHead

    from .errors import CallerError


class SlowCallerError(Exception):
    """The caller did not read its response in time."""


class Delivery:
    """One caller's response: at most one head, then chunks, then the end."""

    def __init__(
        self, request: web.Request, request_id: str, write_timeout: float
    ) -> None:
        self._request = request
        self._request_id = request_id
        self._write_timeout = write_timeout
        self._response: web.StreamResponse | None = None
        # Monotonic time of the first chunk of the body; 0 before it.
        self.first_written_at = 0.0

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

    async def start(self, head: ResponseHead) -> None:
        """Send status and headers."""
        response = web.StreamResponse(status=head.status)
        for name, value in drop_hop_headers((h.name, h.value) for h in head.headers):
            response.headers.add(name, value)
        response.content_length = find_content_length(head)
        response.headers["X-Request-Id"] = self._request_id
        if head.weight_version:
            response.headers["X-Weight-Version"] = head.weight_version
        if head.replayed:
            response.headers["X-Replayed"] = "true"
        self._response = response
        await response.prepare(self._request)

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body; raises ``SlowCallerError``."""
        try:
            async with asyncio.timeout(self._write_timeout):
                await self.response.write(chunk)
                self.first_written_at = self.first_written_at or time.monotonic()
        except TimeoutError as error:
            raise SlowCallerError(self._request_id) from error

    async def finish(self) -> None:
        """End a complete response."""
        await self.response.write_eof()

    async def fail(self, error: CallerError) -> web.StreamResponse:
        """End a response that cannot be completed, visibly for the caller.

        An event stream ends with an error event; for any other body the connection is
        aborted, so that a truncated response does not look complete.
        """
        response = self.response
        content_type = response.headers.get("Content-Type", "")
        if content_type.startswith("text/event-stream") and not response.content_length:
            body = error.make_body(self._request_id)
            await self.write(b"event: error\ndata: " + body + b"\n\n")
            await response.write_eof()
        elif self._request.transport is not None:
            self._request.transport.abort()
        return response


def find_content_length(head: ResponseHead) -> int | None:
    """Return the body's length in bytes where the target sent one.

    A caller that knows the length detects a truncated response by itself.
    """
    for header in head.headers:
        if header.name.lower() == "content-length" and header.value.isdecimal():
            return int(header.value)
    return None
