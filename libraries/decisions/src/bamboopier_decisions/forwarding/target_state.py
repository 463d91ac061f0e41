"""What a gateway believes of one start of a target."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .circuit_breaker import CircuitBreaker
from .cold_start_limit import ColdStartLimit, hash_phase
from .gateway_headroom import GatewayHeadroom
from .part_cache_estimate import PartCacheEstimate
from .rate_limit import RateLimit

if TYPE_CHECKING:
    from .prompt import Prompt
    from .specs import ServiceSpec, TargetEntry

# Share of an engine's memory that is believed to hold shared parts; the rest holds
# what runs.
CACHE_SHARE = 0.6


class Load:
    """Work of one target: requests, tokens of memory, and tokens still to be read."""

    __slots__ = ("memory", "requests", "pending_prefill")

    def __init__(
        self, requests: int = 0, memory: int = 0, pending_prefill: int = 0
    ) -> None:
        self.requests = requests
        self.memory = memory
        self.pending_prefill = pending_prefill

    def add(self, other: Load) -> None:
        """Add another load."""
        self.requests += other.requests
        self.memory += other.memory
        self.pending_prefill += other.pending_prefill


class TargetState:
    """One target: its entry, own load, load told by other gateways, and standing."""

    __slots__ = (
        "headroom",
        "busy_until",
        "cold_start",
        "entry",
        "rate_limit",
        "own_load",
        "other_load",
        "cached_parts",
        "pinned",
        "service",
        "short_answers_until",
        "circuit_breaker",
        "versions",
    )

    def __init__(self, entry: TargetEntry, service: ServiceSpec) -> None:
        self.entry = entry
        self.service = service
        self.own_load = Load()
        self.other_load = Load()
        self.headroom = GatewayHeadroom()
        self.circuit_breaker = CircuitBreaker()
        self.cold_start = ColdStartLimit(hash_phase(entry.name))
        self.rate_limit = RateLimit(hash_phase(entry.name))
        # Until then it turns requests away, by its own word.
        self.busy_until = float("-inf")
        # Until then it gets short answers only: it is about to load new weights.
        self.short_answers_until = float("-inf")
        self.versions = dict(entry.versions)
        memory = service.engine.memory_tokens if service.engine else 0
        self.cached_parts = PartCacheEstimate(int(memory * CACHE_SHARE))
        # Requests of this gateway under way that need each shared part: while there
        # is one, the engine cannot evict it.
        self.pinned: Counter[str] = Counter()

    @property
    def slots(self) -> int:
        """Return the requests it runs at once."""
        return max(1, self.entry.slots)

    @property
    def requests(self) -> int:
        """Return the requests under way, other gateways' included."""
        return self.own_load.requests + self.other_load.requests

    @property
    def memory(self) -> int:
        """Return the tokens of memory that requests under way need."""
        return self.own_load.memory + self.other_load.memory

    @property
    def pending_prefill(self) -> int:
        """Return the prompt tokens not yet read."""
        return self.own_load.pending_prefill + self.other_load.pending_prefill

    def update_entry(self, entry: TargetEntry) -> None:
        """Take a newer entry of the same start."""
        self.entry = entry
        for model, version in entry.versions.items():
            self.record_version(model, version)

    def record_version(self, model: str, version: int) -> None:
        """Take in a weight version; a change empties the engine's cache."""
        known = self.versions.get(model, 0)
        if version > known:
            self.versions[model] = version
            if known:
                self.cached_parts.clear()

    def count_memory(self, prompt: Prompt) -> int:
        """Return the tokens of memory that ``prompt`` needs beside what is pinned.

        A part that several requests share is held once.
        """
        held = sum(p.tokens for p in prompt.shared_parts if self.pinned[p.name])
        return max(1, prompt.tokens_in - held) + prompt.tokens_out

    def pin(self, prompt: Prompt) -> int:
        """Take in that ``prompt`` is sent; return the memory it adds."""
        memory = self.count_memory(prompt)
        self.pinned.update(part.name for part in prompt.shared_parts)
        return memory

    def unpin(self, prompt: Prompt) -> int:
        """Take in that ``prompt`` is over; return the memory that falls free."""
        self.pinned.subtract(part.name for part in prompt.shared_parts)
        for part in prompt.shared_parts:
            if self.pinned[part.name] <= 0:
                del self.pinned[part.name]
        return self.count_memory(prompt)

    def count_prefill(self, prompt: Prompt) -> int:
        """Return the tokens of ``prompt`` that it probably has to read."""
        return max(1, prompt.tokens_in - self.cached_parts.count_cached(prompt))
