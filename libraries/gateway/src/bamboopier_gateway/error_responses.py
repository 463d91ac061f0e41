"""Assigns request ids and converts every failure into a typed error response."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

import structlog
from aiohttp import web

from .errors import CallerError, ErrorCode, quote

if TYPE_CHECKING:
    from aiohttp.typedefs import Handler

MAX_HEADER_BYTES = 32 * 1024
# Bytes of responses that may be buffered for a caller before its next request is read.
MAX_BUFFERED_BYTES = 256 * 1024
# Key of the id that the gateway assigns to a request; it never comes from the caller.
REQUEST_ID = web.RequestKey("request_id", str)
# The rest of the request is not read, so the connection cannot be reused.
_CLOSING_CODES = frozenset(
    {ErrorCode.TOO_LARGE, ErrorCode.BODY_TIMEOUT, ErrorCode.HEADERS_TOO_LARGE}
    | {ErrorCode.OVERLOADED}
)

log = structlog.get_logger()


@web.middleware
async def answer_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Assign the request's id and convert every failure into a typed error response.

    Nothing has been sent to a target when an exception reaches this function: failures
    of attempts are handled before, so "ran: no" is true.
    """
    request[REQUEST_ID] = uuid.uuid4().hex
    if _exceeds_write_buffer(request):
        abort_connection(request)
        raise ConnectionResetError("caller does not read its responses")
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
    """Return whether a caller pipelines requests without reading their responses.

    Short responses are buffered without waiting; without this check the caller would
    control their number and so the gateway's memory use.
    """
    transport = request.transport
    if transport is None:
        return False
    return transport.get_write_buffer_size() > MAX_BUFFERED_BYTES


def abort_connection(request: web.Request) -> None:
    """Abort the caller's connection and discard what is buffered."""
    if request.transport is not None:
        request.transport.abort()
