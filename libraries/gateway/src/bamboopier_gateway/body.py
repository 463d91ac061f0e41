"""Reads callers' bodies within a size, a time and a sum over all requests."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from .errors import CallerError, ErrorCode

if TYPE_CHECKING:
    from collections.abc import Iterator

    from prometheus_client import Gauge

RETRY_AFTER_SECONDS = 1.0


class BodyBudget:
    """Bounds the bytes of bodies that all open requests hold together.

    A body is held until its request ends, for it may be sent again. Connections times
    the largest body would be many times a VM's memory, and the process would be killed
    with every request it has; refusing the next one costs that one a retry.
    """

    def __init__(self, limit: int, held_bytes: Gauge) -> None:
        self._limit = limit
        self._held = 0
        held_bytes.set_function(lambda: self._held)

    @contextmanager
    def open(self, request: web.BaseRequest) -> Iterator[None]:
        """Hold what ``request`` reads for as long as the context is open."""
        share = BodyShare(self)
        request[BODY_SHARE] = share
        try:
            yield
        finally:
            self._held -= share.held

    def acquire(self, size: int) -> None:
        """Hold ``size`` bytes more; raises ``CallerError`` when that is too much."""
        if self._held + size > self._limit:
            message = "the bodies of all open requests fill this gateway's memory"
            raise CallerError(
                ErrorCode.OVERLOADED, message, retry_after=RETRY_AFTER_SECONDS
            )
        self._held += size


class BodyShare:
    """The part of the budget that one request holds."""

    __slots__ = ("_budget", "held")

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self.held = 0

    def acquire(self, size: int) -> None:
        """Hold ``size`` bytes more; raises ``CallerError``."""
        self._budget.acquire(size)
        self.held += size


BODY_SHARE = web.RequestKey("body_share", BodyShare)


async def read_body(request: web.BaseRequest, limit: int, timeout: float) -> bytes:
    """Return the body; raises ``CallerError``, and stops reading, above ``limit``.

    ``timeout`` in seconds is for the whole body, so that a caller that sends a byte now
    and then cannot hold its connection for ever.
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
        share.acquire(len(chunk))
        body += chunk
        if len(body) > limit:
            raise _make_too_large_error("more", limit)
    return bytes(body)


def _make_too_large_error(found: str, limit: int) -> CallerError:
    message = f"body of {found} bytes; allowed: {limit}"
    return CallerError(ErrorCode.TOO_LARGE, message)
