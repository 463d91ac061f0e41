"""Result of one replayed request, as its caller sees it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    # A typed error which states that the request has not run.
    REFUSED = "refused"
    # A typed error which states that the request may have run.
    UNKNOWN = "unknown"
    # Any other error response: the request itself was invalid.
    ERROR = "error"
    # The connection was cut or the response ended early.
    CUT = "cut"
    TIMED_OUT = "timed-out"


@dataclass(frozen=True, slots=True)
class Observation:
    """One request's outcome and measurements. Times are in seconds."""

    tag: str
    workspace: str
    outcome: Outcome
    # Stable code of the error; empty for a successful response.
    code: str = ""
    first_byte: float = 0.0
    total: float = 0.0
    retry_after: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    idempotency_key: str = ""
    # SHA-256 of the response body; shows whether a repeated key got the same response.
    body_digest: str = ""
