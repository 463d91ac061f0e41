"""What processes of the system tell each other in datagrams.

Everything here is a hint with a short life: a datagram that is lost, late or doubled
costs a worse choice, never a wrong one. Only the answer to a question carries a proof,
and it counts from when the question was asked.
"""

from __future__ import annotations

import msgspec

# Larger datagrams are cut into fragments, and lost if one of them is.
MAX_BYTES = 1400


class TargetLoadHint(msgspec.Struct, array_like=True):
    """What one gateway has under way at one target."""

    target: str
    requests: int
    memory: int
    pending_prefill: int


class CrashHint(msgspec.Struct, array_like=True):
    """A target that broke while it had a request."""

    fingerprint: bytes
    target: str


class TargetLimitHint(msgspec.Struct, array_like=True):
    """What one gateway was told of the requests that a target takes.

    Ages are in milliseconds; None for what it was not told.
    """

    target: str
    # Milliseconds since 1970 of the target's start.
    started_ms: int
    # From all gateways together.
    per_second: float
    # Since an answer named the limit last.
    named_age: int | None
    # Since a request was sent whose answer named none.
    ended_age: int | None
    # Since the limit was named first.
    since_age: int


class LoadHint(msgspec.Struct, array_like=True, tag="load"):
    """What one gateway has under way, and what broke lately."""

    sender: str
    # Grows with each hint of one start; a late one is dropped.
    number: int
    # Milliseconds since 1970 of the sender's start.
    started_ms: int
    loads: list[TargetLoadHint]
    crashes: list[CrashHint]
    limits: list[TargetLimitHint] = []


class WeightLoadHint(msgspec.Struct, array_like=True, tag="order"):
    """A target is about to load weights, loads them, or has loaded them."""

    target: str
    model: str
    # The version in force; 0 until it is loaded.
    version: int
    # It takes nothing for so long.
    busy_ms: int
    # It takes short answers only for so long.
    short_ms: int = 0


class FreshnessRequest(msgspec.Struct, array_like=True, tag="ask"):
    """Asks how long ago the configuration was proved current."""

    sender: str
    nonce: int


class FreshnessResponse(msgspec.Struct, array_like=True, tag="proof"):
    """Version in force at the answering gateway, and the age of its proof."""

    nonce: int
    version: int
    age_ms: int


Hint = LoadHint | WeightLoadHint | FreshnessRequest | FreshnessResponse

_decoder = msgspec.msgpack.Decoder(Hint)


def encode(hint: Hint) -> bytes:
    """Return a hint as it is sent."""
    return msgspec.msgpack.encode(hint)


def decode(data: bytes) -> Hint | None:
    """Return a hint, or None for bytes that are none."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError:
        return None
