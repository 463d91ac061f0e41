"""Events an agent's admission is told and decisions it answers with."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RejectReason(StrEnum):
    """Why a target does not take a request."""

    QUEUE_FULL = "queue-full"
    FAIR_SHARE = "fair-share"
    DEADLINE = "deadline"
    # It would wait longer than its gateway allows; another target may be free.
    BUSY = "busy"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class AdmissionRequested:
    """A gateway asks this target to run a request."""

    now: float
    request_id: str
    workspace: str
    # Share of the target relative to other workspaces.
    weight: float
    # Smaller is served first within the workspace.
    priority: int
    # Seconds on the same clock as ``now``.
    deadline: float
    # Tokens to prefill and the most tokens to generate.
    prompt_tokens: int
    max_tokens: int
    # Seconds its gateway lets it wait here before it tries another target.
    max_wait: float = float("inf")


@dataclass(frozen=True, slots=True)
class FirstTokenReceived:
    """The first byte for a request that had ``prefill_tokens`` of prompt to prefill.

    0 when that is known only at the end.
    """

    now: float
    request_id: str
    prefill_tokens: int


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """A started request is over; ``succeeded`` when the target finished it."""

    now: float
    request_id: str
    succeeded: bool
    output_tokens: int = 0
    # Neither answered nor failed: the caller left, or it was refused after its start.
    # It says nothing of the target.
    cancelled: bool = False
    # Tokens that were prefilled, where ``FirstTokenReceived`` could not say.
    prefill_tokens: int = 0


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The gateway cancelled a request that may still be waiting."""

    now: float
    request_id: str


@dataclass(frozen=True, slots=True)
class TargetRestarted:
    """The target has a new start id: cold cache, cold weights, unknown speed."""

    now: float


@dataclass(frozen=True, slots=True)
class StopRequested:
    """No new work from now on; what runs goes on, what waits is turned away."""

    now: float


@dataclass(frozen=True, slots=True)
class ResumeRequested:
    """New work is taken again: a drain or a load of weights is over."""

    now: float


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed: requests whose deadline cannot be met any more are answered."""

    now: float


@dataclass(frozen=True, slots=True)
class Start:
    """Send the request to the target now."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer not-run now; ``retry_after`` in seconds, 0 when waiting is useless."""

    request_id: str
    reason: RejectReason
    retry_after: float


AdmissionEvent = (
    AdmissionRequested
    | FirstTokenReceived
    | RequestFinished
    | RequestCancelled
    | TargetRestarted
    | StopRequested
    | ResumeRequested
    | Tick
)
AdmissionDecision = Start | Reject
