"""Defines every error that a caller can receive, with its stable code."""

from __future__ import annotations

from enum import StrEnum
from http import HTTPStatus
from math import ceil
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from bamboopier_configuration.errors import BamboopierError
from bamboopier_decisions.routing.messages import ExecutionStatus, RefuseReason

if TYPE_CHECKING:
    from bamboopier_decisions.routing.messages import Refuse

# Longest excerpt of a request in an error message.
MAX_QUOTED_CHARS = 60


class ErrorCode(StrEnum):
    """Stable codes; callers may rely on them. Each has one HTTP status."""

    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    BAD_REQUEST = "bad_request"
    BAD_PATH = "bad_path"
    TOO_LARGE = "too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    UNSUPPORTED_ENCODING = "unsupported_encoding"
    BODY_TIMEOUT = "body_timeout"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    KEY_REUSED = "idempotency_key_reused"
    KEY_IN_PROGRESS = "idempotency_key_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    NO_TARGET = "no_target"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    STOPPING = "stopping"
    QUARANTINED = "quarantined"
    STALE_CONFIGURATION = "stale_configuration"
    INTERNAL = "internal"

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return _STATUS_BY_CODE[self]

    @property
    def error_type(self) -> str:
        """Return the error type that OpenAI's client libraries expect."""
        return _ERROR_TYPES.get(self.status) or (
            "server_error" if self.status >= 500 else "invalid_request_error"
        )


_STATUS_BY_CODE = {
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.FORBIDDEN: 403,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.METHOD_NOT_ALLOWED: 405,
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.BAD_PATH: 400,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.HEADERS_TOO_LARGE: 431,
    ErrorCode.UNSUPPORTED_ENCODING: 415,
    ErrorCode.BODY_TIMEOUT: 408,
    ErrorCode.TOO_MANY_CONNECTIONS: 503,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.KEY_IN_PROGRESS: 409,
    ErrorCode.OUTCOME_UNKNOWN: 502,
    ErrorCode.NO_TARGET: 503,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.DEADLINE: 504,
    ErrorCode.CLAIM_UNAVAILABLE: 503,
    ErrorCode.STOPPING: 503,
    ErrorCode.QUARANTINED: 422,
    ErrorCode.STALE_CONFIGURATION: 503,
    ErrorCode.INTERNAL: 500,
}

_ERROR_TYPES = {
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    409: "conflict_error",
}

_CODES_BY_REASON = {
    RefuseReason.NO_TARGET: ErrorCode.NO_TARGET,
    RefuseReason.OVERLOADED: ErrorCode.OVERLOADED,
    RefuseReason.DEADLINE: ErrorCode.DEADLINE,
    RefuseReason.RETRY_BUDGET: ErrorCode.OVERLOADED,
    RefuseReason.ATTEMPTS: ErrorCode.OVERLOADED,
    RefuseReason.TARGET_FAILED: ErrorCode.OUTCOME_UNKNOWN,
    RefuseReason.QUARANTINED: ErrorCode.QUARANTINED,
}


class _ErrorDetail(msgspec.Struct):
    message: str
    type: str
    code: ErrorCode
    ran: ExecutionStatus
    request_id: str
    # Always null; OpenAI's client libraries expect the field.
    param: None = None


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


class CallerError(BamboopierError):
    """A failure reported to the caller; ``retry_after`` in seconds, 0 for none."""

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        ran: ExecutionStatus = ExecutionStatus.NOT_EXECUTED,
        retry_after: float = 0.0,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.ran = ran
        self.retry_after = retry_after

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self.code.status

    def make_body(self, request_id: str) -> bytes:
        """Return the JSON body."""
        detail = _ErrorDetail(
            self.message, self.code.error_type, self.code, self.ran, request_id
        )
        return msgspec.json.encode(_ErrorBody(detail))

    def make_response(self, request_id: str) -> web.Response:
        """Return the complete HTTP response."""
        body = self.make_body(request_id)
        headers = self._make_headers(request_id)
        return web.Response(status=self.status, body=body, headers=headers)

    def make_raw_response(self, request_id: str) -> bytes:
        """Return the response as bytes, for a connection without an HTTP server."""
        body = self.make_body(request_id)
        headers = {
            **self._make_headers(request_id),
            "Content-Length": str(len(body)),
            "Connection": "close",
        }
        lines = [f"HTTP/1.1 {self.status} {HTTPStatus(self.status).phrase}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join([*lines, "", ""]).encode() + body

    def _make_headers(self, request_id: str) -> dict[str, str]:
        headers = {"Content-Type": "application/json", "X-Request-Id": request_id}
        if self.retry_after > 0:
            headers["Retry-After"] = str(ceil(self.retry_after))
        return headers


def make_refusal(refuse: Refuse) -> CallerError:
    """Return the caller's error for a router's refusal."""
    code = _CODES_BY_REASON[refuse.reason]
    if refuse.ran is ExecutionStatus.UNKNOWN:
        code = ErrorCode.OUTCOME_UNKNOWN
    message = f"request given up: {refuse.reason.value}"
    return CallerError(code, message, refuse.ran, refuse.retry_after)


def quote(text: str) -> str:
    """Return an excerpt of a request for an error message: short and ASCII."""
    return ascii(
        text if len(text) <= MAX_QUOTED_CHARS else text[:MAX_QUOTED_CHARS] + "..."
    )
