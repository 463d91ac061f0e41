"""Estimates which parts of prompts a target has cached.

This is an estimate only: it is based on what this gateway sent there, and the engine
evicts by its own rules. A wrong estimate costs one prompt a prefill, never correctness.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .prompt import Prompt


class PartCacheEstimate:
    """The parts most recently sent to one target, up to its cache capacity."""

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
        """Add the parts of a prompt that is sent to the target."""
        for part in prompt.shared_parts:
            if part.name not in self._parts:
                self._held += part.tokens
                self._parts[part.name] = part.tokens
            self._parts.move_to_end(part.name)
        while self._held > self._capacity and len(self._parts) > 1:
            _, tokens = self._parts.popitem(last=False)
            self._held -= tokens

    def clear(self) -> None:
        """Remove all parts, after new weights or with a new instance."""
        self._parts.clear()
        self._held = 0
