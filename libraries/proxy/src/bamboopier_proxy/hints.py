"""Messages that processes of the system send each other in datagrams.

All are hints that expire quickly: a datagram that is lost, late or duplicated can lead
to a worse decision, never to an incorrect one. Only a freshness response confirms
anything, and its age counts from the time at which the request was sent.
"""

from __future__ import annotations

import msgspec

from bamboopier_decisions.rollouts.evidence import AnswerCounts, AnswerKey
from bamboopier_objects.decoding import DECODE_ERRORS

# Larger datagrams are split into fragments, and lost if one fragment is lost.
MAX_BYTES = 1400


class TargetLoadHint(msgspec.Struct, array_like=True):
    """Load that one gateway has in flight at one target, and whether it responds.

    ``memory`` and ``pending_prefill`` are in tokens.
    """

    target: str
    requests: int
    memory: int
    pending_prefill: int
    # Milliseconds since the gateway last received a byte; None before the first.
    byte_age_ms: int | None = None
    # Milliseconds for which the target has been silent; 0 unless it is stalled.
    stalled_ms: int = 0


class CrashHint(msgspec.Struct, array_like=True):
    """A target that ended while it had a request; ages are in milliseconds."""

    fingerprint: bytes
    target: str
    # Since the request was sent to the target.
    sent_age: int = 0
    # Since the target ended.
    ended_age: int = 0


class QuarantineHint(msgspec.Struct, array_like=True):
    """A request that is refused since it crashes targets."""

    fingerprint: bytes
    # Milliseconds for which it is still refused.
    remaining: int


class TargetLimitHint(msgspec.Struct, array_like=True):
    """The rate limit of a target as reported to one gateway.

    Ages are in milliseconds; None for what was not reported.
    """

    target: str
    # Start time of the target in milliseconds since 1970.
    started_ms: int
    # Requests a second from all gateways together.
    per_second: float
    # Since a response last reported the limit.
    reported_age: int | None
    # Since a request was sent whose response reported no limit.
    ended_age: int | None
    # Since the limit was first reported.
    reported_since_age: int


class DemandHint(msgspec.Struct, array_like=True):
    """The requests that one gateway gets for a limited or contended service."""

    service: str
    per_second: float
    # Requests of the workspaces that ask for most, in the window of their counts.
    workspaces: list[tuple[str, int]] = []


class LoadHint(msgspec.Struct, array_like=True, tag="load"):
    """Load that one gateway has in flight, and recent crashes and rate limits."""

    sender: str
    # Sequence number within one run of the sender; a late hint is dropped.
    number: int
    # Start time of the sender in milliseconds since 1970.
    started_ms: int
    loads: list[TargetLoadHint]
    crashes: list[CrashHint]
    limits: list[TargetLimitHint] = []
    refused: list[QuarantineHint] = []
    demands: list[DemandHint] = []


class OwnLoadHint(msgspec.Struct, array_like=True, tag="own"):
    """All that one gateway has in flight at a target; sent to the agent beside it.

    ``memory`` and ``pending_prefill`` are in tokens.
    """

    sender: str
    # Start time of the sender in milliseconds since 1970.
    started_ms: int
    # Sequence number within one run of the sender; a late hint is dropped.
    number: int
    target: str
    requests: int
    memory: int
    pending_prefill: int


class LoadQuery(msgspec.Struct, array_like=True, tag="load?"):
    """Asks an agent what other gateways than the sender have at its target."""

    sender: str
    nonce: int
    target: str


class TargetLoadAnswer(msgspec.Struct, array_like=True, tag="load!"):
    """What they have in flight; ``memory`` and ``pending_prefill`` are in tokens."""

    nonce: int
    target: str
    requests: int
    memory: int
    pending_prefill: int


class WeightLoadHint(msgspec.Struct, array_like=True, tag="order"):
    """A target is about to load weights, loads them, or has loaded them."""

    target: str
    model: str
    # The loaded version; 0 until it is loaded.
    version: int
    # Time for which the target accepts no requests.
    busy_ms: int
    # Time for which the target accepts only requests for short responses.
    short_ms: int = 0


class ColdTarget(msgspec.Struct, array_like=True):
    """A number of requests for one instance of a cold target."""

    target: str
    # Start time of the target in milliseconds since 1970.
    started_ms: int
    requests: int


class CapacityRequest(msgspec.Struct, array_like=True, tag="borrow"):
    """Asks for shares of cold targets that the sender's waiting callers need."""

    sender: str
    nonce: int
    targets: list[ColdTarget]


class CapacityGrant(msgspec.Struct, array_like=True, tag="lend"):
    """What the answering gateway lends, by target."""

    sender: str
    nonce: int
    targets: list[ColdTarget]


class FreshnessRequest(msgspec.Struct, array_like=True, tag="ask"):
    """Asks how long ago the configuration and lists were confirmed as current."""

    sender: str
    nonce: int


class ListConfirmation(msgspec.Struct, array_like=True):
    """What a gateway knows of the objects below a key prefix in the store."""

    prefix: str
    # Revision of the store up to which objects may have changed; none did after it.
    changed_revision: int
    # Milliseconds for which changes may be missing.
    age_ms: int
    # The same number as all processes that know the same objects; None from a gateway
    # of a release that does not send it, which confirms nothing.
    fingerprint: int | None = None


class FreshnessResponse(msgspec.Struct, array_like=True, tag="proof"):
    """Active version at the answering gateway, and the age of its confirmation."""

    nonce: int
    version: int
    age_ms: int
    lists: list[ListConfirmation] = []
    # Milliseconds since the store last accepted a call of any gateway, as far as known
    # at the answering one.
    store_age_ms: int | None = None


class StreamHint(msgspec.Struct, array_like=True, tag="stream"):
    """A stream has begun, or goes on."""

    key: bytes
    service: str
    software_version: str
    # Timeout of the stream's route in seconds.
    timeout: float = 0.0


class StreamQuery(msgspec.Struct, array_like=True, tag="origin"):
    """Asks which software version began a stream of one of these services."""

    nonce: int
    key: bytes
    services: list[str]
    # Timeout of the stream's route in seconds.
    timeout: float = 0.0


class StreamAnswer(msgspec.Struct, array_like=True, tag="began"):
    """The origin of a stream; gateways that do not know it send no answer."""

    nonce: int
    service: str
    software_version: str


class PartCrashHint(msgspec.Struct, array_like=True):
    """A target that ended while it had a request with a part; ages in milliseconds."""

    part: bytes
    request: bytes
    target: str
    # Since the request was sent to the target.
    sent_age: int
    # Since the target ended.
    ended_age: int


class CompletedPartHint(msgspec.Struct, array_like=True):
    """A part that a target completed a request with."""

    part: bytes
    # Milliseconds since then.
    age: int


class RefusedPartHint(msgspec.Struct, array_like=True):
    """A part whose requests are refused; times in milliseconds."""

    part: bytes
    # Since the first target ended with it.
    first_ended_age: int
    # For which it is still refused.
    remaining: int
    # Since it was last completed; None if that is unknown.
    completed_age: int | None


class PartHint(msgspec.Struct, array_like=True, tag="parts"):
    """What a gateway knows of parts that crash targets."""

    sender: str
    crashes: list[PartCrashHint]
    completed: list[CompletedPartHint]
    refused: list[RefusedPartHint]


class RetryRequest(msgspec.Struct, array_like=True, tag="retry?"):
    """Asks for a retry of a service that the sender has none left for."""

    sender: str
    nonce: int
    service: str
    # The part of a retry that is missing, and the smallest part that is of use; a
    # sender that says neither counts each grant as a whole one.
    missing: float = 1.0
    least: float = 1.0


class RetryGrant(msgspec.Struct, array_like=True, tag="retry!"):
    """The answering gateway has paid for a retry of the asking one, or for a part."""

    sender: str
    nonce: int
    service: str
    part: float = 1.0


class RolloutReport(msgspec.Struct, array_like=True, tag="rollout"):
    """What a gateway has counted since it knows an order, and has in flight."""

    sender: str
    # Start time of the sender in milliseconds since 1970.
    started_ms: int
    service: str
    # The version on trial.
    software_version: str
    # Version of the stored roll-out that the sender knows.
    revision: int
    # Its requests at targets of other versions.
    former_in_flight: int
    evidence: list[tuple[AnswerKey, AnswerCounts]]


Hint = (
    LoadHint
    | OwnLoadHint
    | LoadQuery
    | TargetLoadAnswer
    | WeightLoadHint
    | CapacityRequest
    | CapacityGrant
    | FreshnessRequest
    | FreshnessResponse
    | StreamHint
    | StreamQuery
    | StreamAnswer
    | PartHint
    | RetryRequest
    | RetryGrant
    | RolloutReport
)

_decoder = msgspec.msgpack.Decoder(Hint)


def encode(hint: Hint) -> bytes:
    """Encode a hint for sending."""
    return msgspec.msgpack.encode(hint)


def shorten(hint: LoadHint) -> LoadHint:
    """Return the hint without its last loads, if it is too large for a datagram."""
    while hint.loads and len(encode(hint)) > MAX_BYTES:
        hint = msgspec.structs.replace(hint, loads=hint.loads[:-1])
    return hint


def decode(data: bytes) -> Hint | None:
    """Decode a hint; return None for invalid bytes."""
    try:
        return _decoder.decode(data)
    except DECODE_ERRORS:
        return None
