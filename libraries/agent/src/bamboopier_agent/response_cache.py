"""Caches responses in memory for callers that repeat an idempotency key.

The cache does not prevent a second run: the claim stored in the platform does. If this
process ends, its cached responses are lost and callers receive "outcome unknown".
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

# Memory of an entry without its body.
ENTRY_BYTES = 512


@dataclass(slots=True)
class CachedResponse:
    """The response of one run; ``finished`` once it is complete."""

    fingerprint: bytes
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    weight_version: str = ""
    body: bytearray = field(default_factory=bytearray)
    finished: bool = False
    # The response exceeded the cache's capacity: the run is recorded without its body.
    overflowed: bool = False


class ResponseCache:
    """A cache of bounded size that evicts the oldest finished responses first."""

    def __init__(self, capacity_bytes: int) -> None:
        self._capacity = capacity_bytes
        self._used = 0
        self._responses: OrderedDict[bytes, CachedResponse] = OrderedDict()

    def start(self, key: bytes, fingerprint: bytes) -> CachedResponse:
        """Add an entry for a run under ``key`` that is in flight."""
        self.discard(key)
        response = CachedResponse(fingerprint)
        self._responses[key] = response
        self._used += ENTRY_BYTES
        return response

    def add(self, response: CachedResponse, chunk: bytes) -> None:
        """Append a chunk of the body.

        Evicts finished responses, and then drops this body, if the capacity is
        exceeded. Responses in flight count too: a few large ones could otherwise fill
        the memory of the process before the first of them ends.
        """
        if response.overflowed:
            return
        response.body.extend(chunk)
        self._used += len(chunk)
        self._evict()
        if self._used > self._capacity:
            self._used -= len(response.body)
            response.body.clear()
            response.overflowed = True

    def finish(self, key: bytes) -> None:
        """Mark the response as complete; remove it if its body was dropped."""
        response = self._responses.get(key)
        if response is None:
            return
        response.finished = True
        if response.overflowed:
            self.discard(key)
        self._evict()

    def discard(self, key: bytes) -> None:
        """Remove a run that has no complete response."""
        response = self._responses.pop(key, None)
        if response is not None:
            self._used -= ENTRY_BYTES + len(response.body)

    def find(self, key: bytes) -> CachedResponse | None:
        """Return the entry of a run under ``key``, or None."""
        return self._responses.get(key)

    def _evict(self) -> None:
        if self._used <= self._capacity:
            return
        finished = [
            key for key, response in self._responses.items() if response.finished
        ]
        for key in finished:
            if self._used <= self._capacity:
                return
            self.discard(key)
