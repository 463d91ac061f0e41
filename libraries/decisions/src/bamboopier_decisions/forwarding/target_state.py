"""The state of one instance of a target, as a gateway estimates it."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .circuit_breaker import CircuitBreaker
from .cold_start_limit import ColdStartLimit
from .gateway_headroom import GatewayHeadroom
from .gateway_share import hash_phase
from .part_cache_estimate import PartCacheEstimate
from .rate_limit import RateLimit
from .rest_period import RestPeriod
from .stall_detector import StallDetector

if TYPE_CHECKING:
    from ..contention.service_time import ServiceTime
    from .prefill_rate import PrefillRate
    from .prompt import Prompt
    from .specs import ServiceSpec, TargetEntry

# Seconds for which a measured load replaces what other gateways reported, and for which
# it is so recent that it contains all that they have sent.
MEASURED_SECONDS = 0.25
EXACT_SECONDS = 0.03
# Seconds for which a measured load still counts, where other gateways report less, once
# the process beside the target no longer answers.
KEPT_SECONDS = 1.5
# Share of an engine's memory that is assumed to hold shared parts; the rest holds
# running requests.
CACHE_SHARE = 0.6


class Load:
    """Load of one target: requests, and tokens of memory and of pending prefill."""

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

    def find_larger(self, other: Load) -> Load:
        """Return the larger one of each part of two loads."""
        return Load(
            max(self.requests, other.requests),
            max(self.memory, other.memory),
            max(self.pending_prefill, other.pending_prefill),
        )


class TargetState:
    """One target: its entry, its load from this and other gateways, and its limits."""

    __slots__ = (
        "headroom",
        "busy_until",
        "cold_start",
        "entry",
        "rate_limit",
        "own_load",
        "_reported_load",
        "other_load",
        "_kept_until",
        "_measured_at",
        "_measured_load",
        "cached_parts",
        "pinned",
        "prefill_rate",
        "reports_leaving",
        "rest",
        "service",
        "service_time",
        "short_answers_until",
        "circuit_breaker",
        "stall_detector",
        "versions",
    )

    def __init__(
        self,
        entry: TargetEntry,
        service: ServiceSpec,
        prefill_rate: PrefillRate,
        service_time: ServiceTime,
    ) -> None:
        self.entry = entry
        self.service = service
        # Both are shared by the targets of the service.
        self.prefill_rate = prefill_rate
        self.service_time = service_time
        self.own_load = Load()
        # That of the other gateways, as far as they reported it to this one, and as the
        # process beside the target added it up.
        self._reported_load = Load()
        self._measured_load = Load()
        self._measured_at = float("-inf")
        # Until then the larger one of both is used.
        self._kept_until = float("-inf")
        # The one of both that decisions use.
        self.other_load = self._reported_load
        self.headroom = GatewayHeadroom()
        self.circuit_breaker = CircuitBreaker()
        self.stall_detector = StallDetector()
        self.cold_start = ColdStartLimit(hash_phase(entry.name))
        self.rate_limit = RateLimit(hash_phase(entry.name))
        self.rest = RestPeriod()
        # One of its responses reported that it leaves, whatever its entry says.
        self.reports_leaving = False
        # Until then it rejects requests, as it reported.
        self.busy_until = float("-inf")
        # Until then it gets short responses only: it is about to load new weights.
        self.short_answers_until = float("-inf")
        self.versions = dict(entry.versions)
        memory = service.engine.memory_tokens if service.engine else 0
        self.cached_parts = PartCacheEstimate(int(memory * CACHE_SHARE))
        # Number of this gateway's requests in flight that need each shared part: while
        # there is one, the engine cannot evict the part.
        self.pinned: Counter[str] = Counter()

    @property
    def leaving(self) -> bool:
        """Return whether it leaves, and gets no more requests."""
        return self.entry.leaving or self.reports_leaving

    @property
    def slots(self) -> int:
        """Return the maximum number of concurrent requests."""
        return max(1, self.entry.slots)

    @property
    def requests(self) -> int:
        """Return the requests in flight, including those of other gateways."""
        return self.own_load.requests + self.other_load.requests

    @property
    def memory(self) -> int:
        """Return the tokens of memory that requests in flight need."""
        return self.own_load.memory + self.other_load.memory

    @property
    def pending_prefill(self) -> int:
        """Return the prompt tokens not yet prefilled."""
        return self.own_load.pending_prefill + self.other_load.pending_prefill

    def set_reported_load(self, load: Load) -> None:
        """Set the load that the other gateways reported to this one."""
        if self.other_load is self._reported_load:
            self.other_load = load
        self._reported_load = load

    def record_measured_load(self, now: float, load: Load) -> None:
        """Record the load of all other gateways as it was a moment ago."""
        self._measured_at, self._measured_load = now, load
        self._kept_until = now

    def record_unanswered(self) -> None:
        """Record that the load of the others can't be measured for now.

        Guards against a crowd that fills the links: answers are lost, and the hints of
        a few gateways show an engine as idle that was full a moment ago.
        """
        self._kept_until = self._measured_at + KEPT_SECONDS

    def select_load(self, now: float) -> None:
        """Use the measured load of the others if it is recent, else what they said."""
        if now - self._measured_at < MEASURED_SECONDS:
            self.other_load = self._measured_load
        elif now < self._kept_until:
            self.other_load = self._measured_load.find_larger(self._reported_load)
        else:
            self.other_load = self._reported_load

    def is_load_exact(self, now: float) -> bool:
        """Return whether the known load contains all that other gateways have sent."""
        return now - self._measured_at < EXACT_SECONDS

    def find_load_age(self, now: float) -> float | None:
        """Return the age of the measured load; None if it is not used."""
        age = now - self._measured_at
        return age if age < MEASURED_SECONDS else None

    def update_entry(self, entry: TargetEntry) -> None:
        """Apply a newer entry of the same instance."""
        self.entry = entry
        for model, version in entry.versions.items():
            self.record_version(model, version)

    def record_version(self, model: str, version: int) -> None:
        """Record a weight version; a change empties the engine's cache."""
        known = self.versions.get(model, 0)
        if version > known:
            self.versions[model] = version
            if known:
                self.cached_parts.clear()

    def count_memory(self, prompt: Prompt) -> int:
        """Return the tokens of memory that ``prompt`` needs besides pinned parts.

        A part that several requests share is stored once.
        """
        held = sum(p.tokens for p in prompt.shared_parts if self.pinned[p.name])
        return max(1, prompt.tokens_in - held) + prompt.tokens_out

    def pin(self, prompt: Prompt) -> int:
        """Pin the shared parts of a prompt that is sent; return the memory it adds."""
        memory = self.count_memory(prompt)
        self.pinned.update(part.name for part in prompt.shared_parts)
        return memory

    def unpin(self, prompt: Prompt) -> int:
        """Unpin the shared parts of a prompt that ended; return the memory it frees."""
        self.pinned.subtract(part.name for part in prompt.shared_parts)
        for part in prompt.shared_parts:
            if self.pinned[part.name] <= 0:
                del self.pinned[part.name]
        return self.count_memory(prompt)

    def count_prefill(self, prompt: Prompt) -> int:
        """Return the tokens of ``prompt`` that the target probably has to prefill."""
        return max(1, prompt.tokens_in - self.cached_parts.count_cached(prompt))
