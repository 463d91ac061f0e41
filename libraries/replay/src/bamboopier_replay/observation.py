"""What a caller saw of one replayed request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    # A typed refusal that says the request has not run.
    REFUSED = "refused"
    # A typed answer that says the request may have run.
    UNKNOWN = "unknown"
    # Any other error answer: the request itself was wrong.
    ERROR = "error"
    # The connection broke or the answer ended early.
    CUT = "cut"
    TIMED_OUT = "timed-out"


@dataclass(frozen=True, slots=True)
class Observation:
    """One request's outcome. Times are in seconds."""

    tag: str
    workspace: str
    outcome: Outcome
    # The error's stable code, empty for answers.
    code: str = ""
    first_byte: float = 0.0
    total: float = 0.0
    retry_after: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    idempotency_key: str = ""
    # Digest of the answer's body, to tell whether a repeated key got the same answer.
    body_digest: str = ""
