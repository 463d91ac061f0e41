"""Remembers where streams began, to resume them at the same software version.

A stream is identified by a digest of the request that brought its first event.

Load pattern: tens of streams a second begin here or at gateways that tell this one, and
a few of them are resumed within seconds, mostly when a target or a gateway ends.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict

import msgspec

# Seconds after its first event for which a stream may be resumed, at least.
RETENTION_SECONDS = 60.0
# The same as a multiple of the longest timeout of a route: callers try again.
RETENTION_FACTOR = 2.0
# Many times the streams that begin within the retention at a gateway and at those that
# tell it, at the size the system is designed for; some 200 bytes each.
MAX_ORIGINS = 20_000


class StreamOrigin(msgspec.Struct, frozen=True):
    """What served the first event of a stream."""

    service: str
    software_version: str


def make_stream_key(workspace: str, request_id: str) -> bytes:
    """Return the key of the stream that this request of a workspace began."""
    digest = hashlib.blake2b(workspace.encode(), digest_size=12)
    digest.update(b"/" + request_id.encode())
    return digest.digest()


class StreamOrigins:
    """Origins of streams by their keys."""

    def __init__(self, max_origins: int = MAX_ORIGINS) -> None:
        self._max_origins = max_origins
        self._retention = RETENTION_SECONDS
        # The least recently recorded first.
        self._origins: OrderedDict[bytes, tuple[float, StreamOrigin]] = OrderedDict()

    def set_longest_stream(self, seconds: float) -> None:
        """Set how long streams may last by the timeouts of their routes."""
        self._retention = max(RETENTION_SECONDS, RETENTION_FACTOR * seconds)

    def record(self, now: float, key: bytes, origin: StreamOrigin) -> StreamOrigin:
        """Record the origin of a stream, or that it goes on; return what is known.

        The first origin stays: its events are what the caller has.
        """
        known = self.find(now, key) or origin
        self._origins[key] = now, known
        self._origins.move_to_end(key)
        self._remove_expired(now)
        return known

    def find(self, now: float, key: bytes) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is not known."""
        recorded_at, origin = self._origins.get(key, (now, None))
        return origin if now - recorded_at < self._retention else None

    def _remove_expired(self, now: float) -> None:
        while self._origins:
            key, (recorded_at, _) = next(iter(self._origins.items()))
            is_recent = now - recorded_at < self._retention
            if is_recent and len(self._origins) <= self._max_origins:
                break
            del self._origins[key]
