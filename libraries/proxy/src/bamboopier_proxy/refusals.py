"""Final answers of this system's own: what happened, whether it ran, when to return."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bamboopier_decisions.routing.messages import ExecutionStatus
from bamboopier_gateway.errors import CallerError, ErrorCode

if TYPE_CHECKING:
    from .messages import HeaderList

__all__ = ["CallerError", "ErrorCode", "ExecutionStatus", "make_error_headers"]


def make_error_headers(error: CallerError, request_id: str) -> HeaderList:
    """Return the headers of an error's answer.

    The time to return is given with its fraction: whole seconds would let callers
    that were refused together return together.
    """
    headers = [("Content-Type", "application/json"), ("X-Request-Id", request_id)]
    if error.retry_after > 0:
        headers.append(("Retry-After", f"{error.retry_after:.2f}"))
    return tuple(headers)
