"""One caller's connection, which answers invalid HTTP with typed errors."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

import structlog
from aiohttp.http_exceptions import LineTooLong

from bamboopier_daemon.http.connection import REFUSAL_SECONDS, HttpConnection
from bamboopier_daemon.http.limits import Problem

from .errors import CallerError, ErrorCode

if TYPE_CHECKING:
    from aiohttp import web

log = structlog.get_logger()


class CallerConnection(HttpConnection):
    """A connection whose refusals tell the caller that its request has not run."""

    __slots__ = ()

    def make_refusal(self, problem: Problem) -> bytes:
        """Return the response to a request that was not passed on; empty for none."""
        return make_error(problem).make_raw_response(uuid.uuid4().hex)

    def make_body_error(self, problem: Problem) -> Exception:
        """Return the error that a handler gets when it reads an invalid body."""
        return make_error(problem)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer invalid HTTP and unhandled exceptions with a typed error."""
        request_id = uuid.uuid4().hex
        if request.writer.output_size > 0:
            raise ConnectionError("a response was already started")
        if isinstance(exc, ConnectionError):
            # The caller has disconnected, which the handler has logged: nobody reads a
            # response, and a logged error would look like a failure of this process.
            raise exc
        if isinstance(exc, LineTooLong):
            error = make_error(Problem.HEAD_TOO_LARGE)
        elif status == ErrorCode.BAD_REQUEST.status:
            error = make_error(Problem.INVALID_HEAD)
        else:
            log.error("request failed", request_id=request_id, exc_info=exc)
            error = CallerError(ErrorCode.INTERNAL, "internal error")
        response = error.make_response(request_id)
        response.force_close()
        return response


def make_error(problem: Problem) -> CallerError:
    """Return the error of a request that was not passed on."""
    if problem is Problem.HEAD_TOO_LARGE:
        return CallerError(ErrorCode.HEADERS_TOO_LARGE, "the headers are too long")
    if problem is Problem.FRAMING_TOO_LARGE:
        message = "the body's chunks are framed too largely"
        return CallerError(ErrorCode.TOO_LARGE, message)
    if problem is Problem.INVALID_BODY:
        message = "the body is cut or its framing is broken"
        return CallerError(ErrorCode.BAD_REQUEST, message)
    if problem is Problem.NO_PLACE:
        return CallerError(
            ErrorCode.TOO_MANY_CONNECTIONS,
            "this gateway has its largest number of connections",
            retry_after=REFUSAL_SECONDS,
        )
    if problem is Problem.NO_MEMORY:
        return CallerError(
            ErrorCode.OVERLOADED,
            "the open requests fill this gateway's memory",
            retry_after=REFUSAL_SECONDS,
        )
    return CallerError(ErrorCode.BAD_REQUEST, "this is not valid HTTP")
