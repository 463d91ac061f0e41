"""Reads a caller's body within a size and a time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.web import RequestPayloadError

from .errors import CallerError, ErrorCode

if TYPE_CHECKING:
    from aiohttp import web


async def read_body(request: web.Request, limit: int, timeout: float) -> bytes:
    """Return the body; raises ``CallerError``, and stops reading, above ``limit``.

    ``timeout`` in seconds is for the whole body, so that a caller that sends a byte now
    and then cannot hold its connection for ever.
    """
    declared = request.content_length
    if declared is not None and declared > limit:
        raise _too_large(f"{declared}", limit)
    body = bytearray()
    try:
        async with asyncio.timeout(timeout):
            async for chunk in request.content.iter_any():
                body += chunk
                if len(body) > limit:
                    raise _too_large("more", limit)
    except TimeoutError as error:
        message = f"the body did not arrive within {timeout:g} seconds"
        raise CallerError(ErrorCode.BODY_TIMEOUT, message) from error
    except (RequestPayloadError, HttpProcessingError) as error:
        message = "the body is cut or its framing is broken"
        raise CallerError(ErrorCode.BAD_REQUEST, message) from error
    return bytes(body)


def _too_large(found: str, limit: int) -> CallerError:
    message = f"body of {found} bytes; allowed: {limit}"
    return CallerError(ErrorCode.TOO_LARGE, message)
