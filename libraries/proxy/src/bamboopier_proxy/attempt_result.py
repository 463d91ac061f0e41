"""How an attempt ended: its cause, and what is certain about its execution."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from bamboopier_decisions.routing.messages import ExecutionStatus

from .messages import AttemptMetadata

# Statuses by which callers learn that a request was not run and never will be.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class Cause(StrEnum):
    """Why an attempt ended without a response for the caller."""

    NONE = ""
    CONNECT = "connect"
    CLOSED = "target-closed"
    # Its target stopped responding while the connection was made.
    STALLED = "target-stalled"
    # Its target asked for rest while the connection was made.
    RESTING = "target-resting"
    # The timeout of its route had passed before it was sent.
    LATE = "late"
    # The retry budget did not allow it any more when it was about to be sent.
    DENIED = "retry-denied"
    # It had not started when its target's weight version expired.
    OUTDATED = "outdated-weights"
    NOT_RUN = "not-run"
    MISDIRECTED = "misdirected"
    BROKEN = "broken"
    UNSEALED = "unsealed"
    # It ended with a status that promises that it was not run, without that word.
    UNPROVED = "unproved"
    TIMEOUT = "timeout"
    # Its target stopped responding, and another one may run it.
    MOVED = "moved"
    # Its target stopped responding, and its caller was about to leave.
    UNANSWERED = "unanswered"


class AttemptResult(msgspec.Struct):
    """How an attempt ended; ``ran`` is what is certain about its execution."""

    ran: ExecutionStatus
    cause: Cause = Cause.NONE
    detail: str = ""
    status: int = 0
    # The caller has the complete response.
    delivered: bool = False
    # A complete error response of the target itself, which may be relayed.
    failure: BufferedResponse | None = None
    weight_version: int = 0
    first_byte: float = 0.0
    # A target other than the expected one responded.
    wrong_target: bool = False
    # Metadata sent to the target, and its time; None if nothing was sent.
    metadata: AttemptMetadata | None = None
    sent_at: float | None = None
    # The request had been sent to a target before.
    is_retry: bool = False


class BufferedResponse(msgspec.Struct, frozen=True):
    """A complete response that has not been relayed."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
