"""Error responses of this system: what happened, whether it ran, when to retry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bamboopier_decisions.routing.messages import ExecutionStatus
from bamboopier_gateway.errors import CallerError, ErrorCode

if TYPE_CHECKING:
    from .messages import HeaderList

__all__ = ["CallerError", "ErrorCode", "ExecutionStatus", "make_error_headers"]


def make_error_headers(error: CallerError, request_id: str) -> HeaderList:
    """Return the headers of an error response.

    Retry-After includes fractions of a second: with whole seconds, callers that are
    refused at the same time would also retry at the same time.
    """
    headers = [("Content-Type", "application/json"), ("X-Request-Id", request_id)]
    if error.retry_after > 0:
        headers.append(("Retry-After", f"{error.retry_after:.2f}"))
    return tuple(headers)
