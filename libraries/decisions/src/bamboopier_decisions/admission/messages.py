"""Input events and decisions of an agent's admission control."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class RejectReason(StrEnum):
    """Why a target rejects a request."""

    QUEUE_FULL = "queue-full"
    FAIR_SHARE = "fair-share"
    DEADLINE = "deadline"
    # The request would wait longer than its gateway allows; another may have capacity.
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
    # Within the workspace, smaller values are served first.
    priority: int
    # Seconds on the same clock as ``now``.
    deadline: float
    # Tokens of the prompt and the maximum number of tokens to generate.
    prompt_tokens: int
    max_tokens: int
    # Seconds that the gateway lets it wait here before it tries another target.
    max_wait: float = float("inf")


@dataclass(frozen=True, slots=True)
class FirstTokenReceived:
    """The target sent the first byte of a response.

    ``prefill_tokens`` is the number of prompt tokens that were prefilled; 0 if it is
    reported only at the end of the response.
    """

    now: float
    request_id: str
    prefill_tokens: int


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """A started request ended; ``succeeded`` if the target completed it."""

    now: float
    request_id: str
    succeeded: bool
    output_tokens: int = 0
    # Neither succeeded nor failed: the caller disconnected, or the request was rejected
    # after its start. It says nothing about the target.
    cancelled: bool = False
    # Tokens that were prefilled, if ``FirstTokenReceived`` did not report them.
    prefill_tokens: int = 0


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The gateway cancelled a request that may still be queued."""

    now: float
    request_id: str


@dataclass(frozen=True, slots=True)
class TargetRestarted:
    """The target has a new start id: its caches are cold and its speed is unknown."""

    now: float


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Reject new and queued requests from now on; running ones continue."""

    now: float


@dataclass(frozen=True, slots=True)
class ResumeRequested:
    """Accept new requests again after a drain or a load of weights."""

    now: float


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed: reject queued requests that can no longer meet their deadline."""

    now: float


@dataclass(frozen=True, slots=True)
class Start:
    """Send the request to the target now."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Reject:
    """Report not-run now; ``retry_after`` is in seconds, 0 if a retry is useless."""

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
