"""Events a router is told and decisions it answers with."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ExecutionStatus(StrEnum):
    """What is known about whether a request has run."""

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
    """Why a request is given up."""

    NO_TARGET = "no-target"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    RETRY_BUDGET = "retry-budget"
    ATTEMPTS = "attempts"
    TARGET_FAILED = "target-failed"
    QUARANTINED = "quarantined"


class ExclusionReason(StrEnum):
    """Why a target is not sent a request."""

    # It has had this request.
    TRIED = "tried"
    # An attempt broke there a moment ago.
    BROKEN = "broken"
    # Much slower than the others.
    SLOW = "slow"
    # It said that it takes no work.
    NOT_ACCEPTING = "not-accepting"
    # It turned this workspace away until later.
    REFUSED = "refused"
    # It has other weights.
    OTHER_WEIGHTS = "other-weights"


@dataclass(frozen=True, slots=True)
class ExcludedTarget:
    """A target that a refused request was not sent to."""

    target: str
    reason: ExclusionReason


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """A target's load as its agent last reported it."""

    running: int = 0
    waiting: int = 0
    limit: int = 1
    queued_tokens: int = 0
    # Tokens of prompt a second; 0 while the agent has not measured it.
    prefill_rate: float = 0.0
    # Seconds until a new request would start.
    queue_delay: float = 0.0
    accepting: bool = True
    start_id: str = ""
    # Version the target serves; empty when not known or a plain service.
    weight_version: str = ""


@dataclass(frozen=True, slots=True)
class TargetView:
    """A target that may be used, from the VM list and the operator's drains."""

    target: str
    service: str
    distance: Distance


@dataclass(frozen=True, slots=True)
class RequestArrived:
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
    # Version the request was made for; empty for plain services.
    weight_version: str = ""
    # Smaller is served first within the workspace.
    priority: int = 0

    @property
    def backoff_key(self) -> str:
        """Return whose refusals say something of this request.

        A target that is full for a workspace's drafts still takes its urgent ones.
        """
        return f"{self.priority}:{self.workspace}"


@dataclass(frozen=True, slots=True)
class TargetReported:
    """An agent's load arrived, on an answer or in reply to a report call."""

    now: float
    target: str
    load: TargetLoad


@dataclass(frozen=True, slots=True)
class FirstByteReceived:
    """An attempt's answer began ``seconds`` after it was sent."""

    now: float
    request_id: str
    target: str
    seconds: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """One attempt is over. ``ran`` is the truth as far as it is known."""

    now: float
    request_id: str
    target: str
    ran: ExecutionStatus
    # The target refused for load; seconds until it thinks it worthwhile to return.
    retry_after: float = 0.0
    # The connection broke or the target crashed while it had the request.
    broken: bool = False
    # Bytes of the answer already went to the caller, so no other may follow.
    delivered: bool = False
    # Seconds from sending to the first byte; 0 when none came.
    first_byte: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetChanged:
    """The whole set of targets this gateway may use now."""

    now: float
    targets: tuple[TargetView, ...]


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that was weighed, with its expected seconds to the first byte."""

    target: str
    expected_seconds: float


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt at ``target``."""

    request_id: str
    target: str
    reason: SendReason
    candidates: tuple[Candidate, ...]
    # Seconds it may wait at the target before that turns it away for another.
    max_wait: float = float("inf")


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller now. ``retry_after`` is in seconds, 0 when useless."""

    request_id: str
    reason: RefuseReason
    ran: ExecutionStatus
    retry_after: float
    # Where no target was left to send to: why each of the first was not.
    excluded: tuple[ExcludedTarget, ...] = ()


@dataclass(frozen=True, slots=True)
class Deliver:
    """The attempt's own answer goes (or has gone) to the caller."""

    request_id: str


RoutingEvent = (
    RequestArrived | TargetReported | FirstByteReceived | AttemptEnded | FleetChanged
)
RoutingDecision = Send | Refuse | Deliver
