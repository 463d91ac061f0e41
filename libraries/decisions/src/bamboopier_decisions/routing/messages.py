"""Input events and decisions of a gateway's router."""

from __future__ import annotations

from enum import StrEnum

import msgspec


class ExecutionStatus(StrEnum):
    """Whether a request was executed, as far as the gateway can tell."""

    NOT_EXECUTED = "no"
    EXECUTED = "yes"
    UNKNOWN = "unknown"


class Distance(StrEnum):
    """How far a target is from this gateway."""

    SAME_DATA_CENTRE = "same-data-centre"
    SAME_REGION = "same-region"
    OTHER_REGION = "other-region"


class SendReason(StrEnum):
    """Why a target was chosen."""

    PREFIX = "prefix"
    PREFIX_SPREAD = "prefix-spread"
    LEAST_DELAY = "least-delay"
    ONLY_CANDIDATE = "only-candidate"
    RETRY = "retry"


class RefuseReason(StrEnum):
    """Why the gateway refuses a request."""

    NO_TARGET = "no-target"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    RETRY_BUDGET = "retry-budget"
    ATTEMPTS = "attempts"
    TARGET_FAILED = "target-failed"
    QUARANTINED = "quarantined"


class ExclusionReason(StrEnum):
    """Why a target is not eligible for a request."""

    # The request was already sent to it.
    TRIED = "tried"
    # An attempt failed there recently: its connection broke or the target crashed.
    BROKEN = "broken"
    # Ejected as an outlier: much slower than the others.
    SLOW = "slow"
    # It reported that it accepts no requests.
    NOT_ACCEPTING = "not-accepting"
    # It rejected this workspace for load, and the time to retry has not come.
    REFUSED = "refused"
    # It serves another weight version.
    OTHER_WEIGHTS = "other-weights"


class ExcludedTarget(msgspec.Struct, frozen=True):
    """A target that was excluded for a refused request."""

    target: str
    reason: ExclusionReason


class TargetLoad(msgspec.Struct, frozen=True):
    """A target's load as its agent last reported it."""

    running: int = 0
    waiting: int = 0
    limit: int = 1
    queued_tokens: int = 0
    # Prompt tokens per second; 0 until the agent has measured it.
    prefill_rate: float = 0.0
    # Seconds until a new request would start.
    queue_delay: float = 0.0
    accepting: bool = True
    start_id: str = ""
    # Version the target serves; empty if unknown or for a plain service.
    weight_version: str = ""


class TargetView(msgspec.Struct, frozen=True):
    """A target that may be used, according to the VM list and the operator's drains."""

    target: str
    service: str
    distance: Distance


class RequestArrived(msgspec.Struct, frozen=True):
    """A caller's request passed authentication and parsing."""

    now: float
    request_id: str
    workspace: str
    service: str
    idempotent: bool
    # Seconds on the same clock as ``now``.
    deadline: float
    prompt_tokens: int = 0
    block_tokens: int = 0
    block_keys: tuple[bytes, ...] = ()
    fingerprint: bytes = b""
    # Weight version that the request requires; empty for plain services.
    weight_version: str = ""
    # Within the workspace, smaller values are served first.
    priority: int = 0

    @property
    def backoff_key(self) -> str:
        """Return the key under which rejections of this request are recorded.

        A target that is full for a workspace's low priority may still accept its urgent
        requests.
        """
        return f"{self.priority}:{self.workspace}"


class TargetReported(msgspec.Struct, frozen=True):
    """An agent reported its load, with a response or in reply to a report call."""

    now: float
    target: str
    load: TargetLoad


class FirstByteReceived(msgspec.Struct, frozen=True):
    """The first byte of a response, ``seconds`` after the attempt was sent."""

    now: float
    request_id: str
    target: str
    seconds: float


class AttemptEnded(msgspec.Struct, frozen=True):
    """An attempt ended. ``ran`` is the execution status as far as it is known."""

    now: float
    request_id: str
    target: str
    ran: ExecutionStatus
    # Seconds until a retry, if the target rejected the request for load; 0 otherwise.
    retry_after: float = 0.0
    # The connection broke or the target crashed while the request was in flight.
    broken: bool = False
    # Bytes of the response were already sent to the caller, so no other may follow.
    delivered: bool = False
    # Seconds from sending to the first byte; 0 if none was received.
    first_byte: float = 0.0


class FleetChanged(msgspec.Struct, frozen=True):
    """The complete set of targets that this gateway may use now."""

    now: float
    targets: tuple[TargetView, ...]


class Candidate(msgspec.Struct, frozen=True):
    """A target that was considered, with its expected seconds to the first byte."""

    target: str
    expected_seconds: float


class Send(msgspec.Struct, frozen=True):
    """Start an attempt at ``target``."""

    request_id: str
    target: str
    reason: SendReason
    candidates: tuple[Candidate, ...]
    # Seconds it may wait at the target before that rejects it in favour of another.
    max_wait: float = float("inf")


class Refuse(msgspec.Struct, frozen=True):
    """Refuse the caller's request. ``retry_after`` is in seconds, 0 if useless."""

    request_id: str
    reason: RefuseReason
    ran: ExecutionStatus
    retry_after: float
    # The first targets and why each was excluded, if no eligible one was found.
    excluded: tuple[ExcludedTarget, ...] = ()


class Deliver(msgspec.Struct, frozen=True):
    """Pass the attempt's response to the caller, unless that was already done."""

    request_id: str


RoutingEvent = (
    RequestArrived | TargetReported | FirstByteReceived | AttemptEnded | FleetChanged
)
RoutingDecision = Send | Refuse | Deliver
