"""Every error a caller can receive, with its stable code."""

from __future__ import annotations

from enum import StrEnum
from math import ceil
from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from bamboopier_configuration.errors import BamboopierError
from bamboopier_decisions.routing.messages import Ran, RefuseReason

if TYPE_CHECKING:
    from bamboopier_decisions.routing.messages import Refuse


class ErrorCode(StrEnum):
    """Stable codes; callers may rely on them."""

    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    KEY_REUSED = "idempotency_key_reused"
    KEY_IN_PROGRESS = "idempotency_key_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    NO_TARGET = "no_target"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    STOPPING = "stopping"
    QUARANTINED = "quarantined"


_STATUS = {
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.FORBIDDEN: 403,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.KEY_IN_PROGRESS: 409,
    ErrorCode.OUTCOME_UNKNOWN: 502,
    ErrorCode.NO_TARGET: 503,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.DEADLINE: 504,
    ErrorCode.CLAIM_UNAVAILABLE: 503,
    ErrorCode.STOPPING: 503,
    ErrorCode.QUARANTINED: 422,
}

_CODES = {
    RefuseReason.NO_TARGET: ErrorCode.NO_TARGET,
    RefuseReason.OVERLOADED: ErrorCode.OVERLOADED,
    RefuseReason.DEADLINE: ErrorCode.DEADLINE,
    RefuseReason.RETRY_BUDGET: ErrorCode.OVERLOADED,
    RefuseReason.ATTEMPTS: ErrorCode.OVERLOADED,
    RefuseReason.TARGET_FAILED: ErrorCode.OUTCOME_UNKNOWN,
    RefuseReason.QUARANTINED: ErrorCode.QUARANTINED,
}


class _ErrorDetail(msgspec.Struct):
    code: ErrorCode
    message: str
    ran: Ran
    request_id: str


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetail


class CallerError(BamboopierError):
    """A failure with its final answer. ``retry_after`` in seconds, 0 when useless."""

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        ran: Ran = Ran.NO,
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
        return _STATUS[self.code]

    def make_body(self, request_id: str) -> bytes:
        """Return the JSON body."""
        detail = _ErrorDetail(self.code, self.message, self.ran, request_id)
        return msgspec.json.encode(_ErrorBody(detail))

    def make_response(self, request_id: str) -> web.Response:
        """Return the whole HTTP answer."""
        headers = {"Content-Type": "application/json", "X-Request-Id": request_id}
        if self.retry_after > 0:
            headers["Retry-After"] = str(ceil(self.retry_after))
        return web.Response(
            status=self.status, body=self.make_body(request_id), headers=headers
        )


def make_refusal(refuse: Refuse) -> CallerError:
    """Return the caller's error for a router's refusal."""
    code = _CODES[refuse.reason]
    if refuse.ran is Ran.UNKNOWN:
        code = ErrorCode.OUTCOME_UNKNOWN
    message = f"request given up: {refuse.reason.value}"
    return CallerError(code, message, refuse.ran, refuse.retry_after)
