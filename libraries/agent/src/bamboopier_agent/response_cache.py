"""Answers kept in memory for callers who repeat an idempotency key.

They are a convenience, not the proof: the claim in the platform is what stops a second
run, and an answer lost with this process is told as "outcome unknown".
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

# Memory an entry takes beside its body.
ENTRY_BYTES = 512


@dataclass(slots=True)
class CachedResponse:
    """One run under a key; ``finished`` once its answer is whole."""

    fingerprint: bytes
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    weight_version: str = ""
    body: bytearray = field(default_factory=bytearray)
    finished: bool = False
    # The answer outgrew the memory: its run is known, its bytes are not.
    overflowed: bool = False


class ResponseCache:
    """A bounded memory of answers, least recently made dropped first."""

    def __init__(self, capacity_bytes: int) -> None:
        self._capacity = capacity_bytes
        self._used = 0
        self._responses: OrderedDict[bytes, CachedResponse] = OrderedDict()

    def start(self, key: bytes, fingerprint: bytes) -> CachedResponse:
        """Note that a run under ``key`` is under way."""
        self.discard(key)
        response = CachedResponse(fingerprint)
        self._responses[key] = response
        self._used += ENTRY_BYTES
        return response

    def add(self, response: CachedResponse, chunk: bytes) -> None:
        """Keep a further piece; older answers, or this one's bytes, may have to go.

        Running answers count as well: a few huge ones would else fill the process's
        memory before the first of them ends.
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
        """Note that the answer is whole."""
        response = self._responses.get(key)
        if response is None:
            return
        response.finished = True
        if response.overflowed:
            self.discard(key)
        self._evict()

    def discard(self, key: bytes) -> None:
        """Forget a run that left no whole answer."""
        response = self._responses.pop(key, None)
        if response is not None:
            self._used -= ENTRY_BYTES + len(response.body)

    def find(self, key: bytes) -> CachedResponse | None:
        """Return what is known of a run under ``key``."""
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
