"""Limits on what one client may send, and on what all of them may hold."""

from __future__ import annotations

import enum

import msgspec

# Bytes of a field with an empty name and value: a colon and the end of its line.
MIN_FIELD_BYTES = 3


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits on one connection and each request on it."""

    # Bytes of the request line, and of all header lines.
    head_bytes: int
    # Largest body that any request may have.
    body_bytes: int
    # Seconds from the first byte of a request to the end of its headers.
    header_seconds: float
    # Seconds for which a connection without a request stays open.
    idle_seconds: float
    # Seconds for which a peer may accept no byte.
    write_seconds: float

    @property
    def max_fields(self) -> int:
        """Return the most header fields that ``head_bytes`` can hold."""
        return self.head_bytes // MIN_FIELD_BYTES


class Places(msgspec.Struct, frozen=True):
    """Limits on all connections of one listener together."""

    # Open connections.
    connections: int
    # Bytes of requests that are not passed on yet, and of parsed heads.
    input_bytes: int
    # Bytes of responses that clients have not read.
    output_bytes: int


class Problem(enum.Enum):
    """Why a client's connection is closed, or its request refused."""

    HEAD_TOO_LARGE = "head too large"
    HEAD_TIMEOUT = "head timeout"
    INVALID_HEAD = "invalid head"
    INVALID_BODY = "invalid body"
    FRAMING_TOO_LARGE = "framing too large"
    # The connection brought least while all places, or all memory, were taken.
    NO_PLACE = "no place"
    NO_MEMORY = "no memory"
    UNREAD_RESPONSE = "unread response"
