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
class KeptAnswer:
    """One run under a key; ``finished`` once its answer is whole."""

    fingerprint: bytes
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    weight_version: str = ""
    body: bytearray = field(default_factory=bytearray)
    finished: bool = False
    # The answer outgrew the memory: its run is known, its bytes are not.
    overflowed: bool = False


class KeptAnswers:
    """A bounded memory of answers, least recently made dropped first."""

    def __init__(self, capacity_bytes: int) -> None:
        self._capacity = capacity_bytes
        self._used = 0
        self._answers: OrderedDict[bytes, KeptAnswer] = OrderedDict()

    def begin(self, key: bytes, fingerprint: bytes) -> KeptAnswer:
        """Note that a run under ``key`` is under way."""
        self.discard(key)
        answer = KeptAnswer(fingerprint)
        self._answers[key] = answer
        self._used += ENTRY_BYTES
        return answer

    def add(self, answer: KeptAnswer, chunk: bytes) -> None:
        """Keep a further piece; older answers, or this one's bytes, may have to go.

        Running answers count as well: a few huge ones would else fill the process's
        memory before the first of them ends.
        """
        if answer.overflowed:
            return
        answer.body.extend(chunk)
        self._used += len(chunk)
        self._make_room()
        if self._used > self._capacity:
            self._used -= len(answer.body)
            answer.body.clear()
            answer.overflowed = True

    def finish(self, key: bytes) -> None:
        """Note that the answer is whole."""
        answer = self._answers.get(key)
        if answer is None:
            return
        answer.finished = True
        if answer.overflowed:
            self.discard(key)
        self._make_room()

    def discard(self, key: bytes) -> None:
        """Forget a run that left no whole answer."""
        answer = self._answers.pop(key, None)
        if answer is not None:
            self._used -= ENTRY_BYTES + len(answer.body)

    def find(self, key: bytes) -> KeptAnswer | None:
        """Return what is known of a run under ``key``."""
        return self._answers.get(key)

    def _make_room(self) -> None:
        if self._used <= self._capacity:
            return
        finished = [key for key, answer in self._answers.items() if answer.finished]
        for key in finished:
            if self._used <= self._capacity:
                return
            self.discard(key)
