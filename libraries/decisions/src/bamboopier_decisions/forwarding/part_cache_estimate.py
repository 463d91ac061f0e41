"""Which parts of prompts a target probably has cached.

A belief only: it comes from what this gateway sent there, and the engine evicts as it
likes. A wrong belief costs one prompt a prefill, never correctness.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .prompt import Prompt


class PartCacheEstimate:
    """The parts sent to one target last, up to what its memory can hold."""

    __slots__ = ("_capacity", "_held", "_parts")

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._held = 0
        self._parts: OrderedDict[str, int] = OrderedDict()

    def count_cached(self, prompt: Prompt) -> int:
        """Return the leading tokens of ``prompt`` that are probably cached."""
        cached = 0
        for part in prompt.shared_parts:
            if part.name not in self._parts:
                break
            cached += part.tokens
        return cached

    def add(self, prompt: Prompt) -> None:
        """Take in that the target reads ``prompt``."""
        for part in prompt.shared_parts:
            if part.name not in self._parts:
                self._held += part.tokens
                self._parts[part.name] = part.tokens
            self._parts.move_to_end(part.name)
        while self._held > self._capacity and len(self._parts) > 1:
            _, tokens = self._parts.popitem(last=False)
            self._held -= tokens

    def clear(self) -> None:
        """Forget everything: new weights, or a new start."""
        self._parts.clear()
        self._held = 0
