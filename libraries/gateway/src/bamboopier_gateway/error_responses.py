"""Gives each request its id and turns every failure into a typed answer."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

import structlog
from aiohttp import web

from .errors import CallerError, ErrorCode, quote

if TYPE_CHECKING:
    from aiohttp.typedefs import Handler

MAX_HEADER_BYTES = 32 * 1024
# Bytes of answers that may wait for a caller before its next request is read.
MAX_BUFFERED_BYTES = 256 * 1024
# Key of the id that the gateway gave a request; a caller's own is never taken for it.
REQUEST_ID = web.RequestKey("request_id", str)
# The rest of the request is not read, so nothing can follow it.
_CLOSING_CODES = frozenset(
    {ErrorCode.TOO_LARGE, ErrorCode.BODY_TIMEOUT, ErrorCode.HEADERS_TOO_LARGE}
    | {ErrorCode.OVERLOADED}
)

log = structlog.get_logger()


@web.middleware
async def answer_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Give the request its id and turn every failure into a typed answer.

    Nothing has been sent to a target when an exception gets here: the attempts have a
    handler of their own, so "ran: no" is true.
    """
    request[REQUEST_ID] = uuid.uuid4().hex
    if _exceeds_write_buffer(request):
        abort(request)
        raise ConnectionResetError("answers are not taken")
    try:
        _check_headers(request)
        return await handler(request)
    except CallerError as error:
        caller_error = error
    except web.HTTPException as error:
        caller_error = _explain_status(request, error)
    except ConnectionError:
        raise
    except Exception:
        log.exception("request failed", request_id=request[REQUEST_ID])
        caller_error = CallerError(ErrorCode.INTERNAL, "internal error")
    response = caller_error.make_response(request[REQUEST_ID])
    if caller_error.code in _CLOSING_CODES:
        response.force_close()
    return response


def _check_headers(request: web.Request) -> None:
    size = sum(len(name) + len(value) for name, value in request.raw_headers)
    if size > MAX_HEADER_BYTES:
        message = f"headers of {size} bytes; allowed: {MAX_HEADER_BYTES}"
        raise CallerError(ErrorCode.HEADERS_TOO_LARGE, message)


def _explain_status(request: web.Request, error: web.HTTPException) -> CallerError:
    if error.status == ErrorCode.NOT_FOUND.status:
        return CallerError(ErrorCode.NOT_FOUND, f"no such path: {quote(request.path)}")
    if isinstance(error, web.HTTPMethodNotAllowed):
        allowed = ", ".join(sorted(error.allowed_methods))
        message = f"{error.method} is not allowed here; allowed: {allowed}"
        return CallerError(ErrorCode.METHOD_NOT_ALLOWED, message)
    if error.status == ErrorCode.TOO_LARGE.status:
        return CallerError(ErrorCode.TOO_LARGE, "the body is too large")
    return CallerError(ErrorCode.BAD_REQUEST, error.reason or "bad request")


def _exceeds_write_buffer(request: web.Request) -> bool:
    """Say whether a caller pipelines requests and takes none of their answers.

    Short answers are buffered without waiting; without this check their number, and so
    the gateway's memory, would be the caller's choice.
    """
    transport = request.transport
    if transport is None:
        return False
    return transport.get_write_buffer_size() > MAX_BUFFERED_BYTES


def abort(request: web.Request) -> None:
    """Cut the caller's connection without waiting for what is buffered."""
    if request.transport is not None:
        request.transport.abort()
