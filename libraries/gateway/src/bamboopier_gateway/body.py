"""Reads callers' bodies within limits of size, time and total memory."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from bamboopier_daemon.http.connection import HttpConnection

from .errors import CallerError, ErrorCode

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client import Gauge

RETRY_AFTER_SECONDS = 1.0
# Iterations of the event loop in which a request that gave way returns its bytes.
YIELD_ITERATIONS = 4


class BodyBudget:
    """Limits the total bytes of the bodies of all open requests.

    A body is held until its request ends, because it may be resent. The number of
    connections times the largest body is many times a VM's memory, and the process
    would be killed with all its requests. Unfinished bodies that bring least give way,
    and where there are none the next request is refused, which costs one retry.
    """

    def __init__(self, limit: int, held_bytes: Gauge) -> None:
        self._limit = limit
        self._held = 0
        held_bytes.set_function(lambda: self._held)

    @contextmanager
    def open(self, request: web.BaseRequest) -> Iterator[None]:
        """Account for what ``request`` reads until the context ends."""
        share = BodyShare(self)
        request[BODY_SHARE] = share
        try:
            yield
        finally:
            self._held -= share.held

    def fits(self, size: int) -> bool:
        """Return whether ``size`` more bytes may be acquired."""
        return self._held + size <= self._limit

    def acquire(self, size: int) -> None:
        """Acquire ``size`` more bytes; raises ``CallerError`` above the limit."""
        if not self.fits(size):
            message = "the bodies of all open requests fill this gateway's memory"
            raise CallerError(
                ErrorCode.OVERLOADED, message, retry_after=RETRY_AFTER_SECONDS
            )
        self._held += size


class BodyShare:
    """The bytes of the budget that one request holds."""

    __slots__ = ("_budget", "held")

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self.held = 0

    def fits(self, size: int) -> bool:
        """Return whether ``size`` more bytes may be acquired."""
        return self._budget.fits(size)

    def acquire(self, size: int) -> None:
        """Acquire ``size`` more bytes; raises ``CallerError``."""
        self._budget.acquire(size)
        self.held += size


BODY_SHARE = web.RequestKey("body_share", BodyShare)


async def read_body(request: web.BaseRequest, limit: int, timeout: float) -> bytes:
    """Return the body; raises ``CallerError``, and stops reading, above ``limit``.

    ``limit`` is in bytes. ``timeout``, in seconds, applies to the complete body, so
    that a caller that sends single bytes cannot keep its connection open for ever.
    """
    declared = request.content_length
    if declared is not None and declared > limit:
        raise _make_too_large_error(f"{declared}", limit)
    try:
        async with asyncio.timeout(timeout):
            return await _read_chunks(request, limit)
    except TimeoutError as error:
        message = f"the body did not arrive within {timeout:g} seconds"
        raise CallerError(ErrorCode.BODY_TIMEOUT, message) from error
    except (web.RequestPayloadError, HttpProcessingError) as error:
        message = "the body is cut or its framing is broken"
        raise CallerError(ErrorCode.BAD_REQUEST, message) from error


async def _read_chunks(request: web.BaseRequest, limit: int) -> bytes:
    share = request[BODY_SHARE]
    body = bytearray()
    async for chunk in request.content.iter_any():
        if not share.fits(len(chunk)):
            await _make_room(request, len(chunk))
        share.acquire(len(chunk))
        body += chunk
        if len(body) > limit:
            raise _make_too_large_error("more", limit)
    return bytes(body)


async def _make_room(request: web.BaseRequest, size: int) -> None:
    """Let unfinished requests that bring less give way to ``size`` bytes."""
    share = request[BODY_SHARE]
    connection = request.protocol
    if not isinstance(connection, HttpConnection):
        return
    while not share.fits(size) and connection.close_slower(share.held + size):
        for _ in range(YIELD_ITERATIONS):
            await asyncio.sleep(0)


def _make_too_large_error(found: str, limit: int) -> CallerError:
    message = f"body of {found} bytes; allowed: {limit}"
    return CallerError(ErrorCode.TOO_LARGE, message)
