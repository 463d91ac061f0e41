"""Simulated engine with a finite batch, shared prefill rate and prefix cache.

An engine may be cold (slow until warmed up, and easy to overload) or slowed down.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .clock import SimulatedClock
    from .orders import Order

EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class EngineShape:
    """Rates (tokens per second) and limits of a simulated engine."""

    prefill_rate: float = 8000.0
    decode_rate: float = 40.0
    # Streams that decode at full rate; with more, they share the total rate.
    full_rate_streams: int = 16
    # Streams that fit in memory; with more the engine swaps and slows down.
    memory_streams: int = 24
    cached_prefixes: int = 60
    # Relative speed of a cold engine, the responses until it is warm, and its maximum
    # of streams before the first response; with one more it crashes.
    cold_speed: float = 0.25
    warmup_responses: int = 24
    cold_stream_limit: int = 3
    restart_seconds: float = 3.0


class _Stream:
    __slots__ = (
        "decode",
        "on_done",
        "on_failed",
        "on_first_token",
        "order",
        "prefill",
        "uncached_tokens",
    )

    def __init__(
        self,
        order: Order,
        uncached_tokens: int,
        on_first_token: Callable[[int], None],
        on_done: Callable[[], None],
        on_failed: Callable[[], None],
    ) -> None:
        self.order = order
        self.uncached_tokens = uncached_tokens
        self.prefill = float(max(1, uncached_tokens))
        self.decode = float(max(1, order.output_tokens))
        self.on_first_token = on_first_token
        self.on_done = on_done
        self.on_failed = on_failed


class SimulatedEngine:
    """Runs a batch of streams; their progress is updated when the batch changes."""

    def __init__(self, clock: SimulatedClock, shape: EngineShape, cold: bool) -> None:
        self._clock = clock
        self.shape = shape
        self.speed = 1.0
        self.starts = 1
        self.crashes = 0
        self.up = True
        self.peak = 0
        self.recomputed = 0
        self.on_restart: Callable[[], None] = lambda: None
        self._completed = 0 if cold else shape.warmup_responses
        # Streams in flight at the reset do not crash a cold engine.
        self._streams_at_reset = 0
        self._streams: dict[str, _Stream] = {}
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._updated = 0.0
        self._version = 0

    def reset_warmup(self) -> None:
        """Become cold and clear the cache, without a restart that others can detect."""
        self._advance()
        self._completed = 0
        self._streams_at_reset = len(self._streams)
        self._cache.clear()
        self._schedule()

    def set_speed(self, speed: float) -> None:
        """Set the speed as a factor of the normal rates."""
        self._advance()
        self.speed = speed
        self._schedule()

    def run(
        self,
        attempt_id: str,
        order: Order,
        on_first_token: Callable[[int], None],
        on_done: Callable[[], None],
        on_failed: Callable[[], None],
    ) -> None:
        """Add an order to the batch; an overloaded cold engine crashes."""
        self._advance()
        cached_tokens = self._cache.get(order.prefix, 0)
        uncached_tokens = order.prompt_tokens - min(cached_tokens, order.shared_tokens)
        self.recomputed += min(order.shared_tokens, uncached_tokens)
        self._streams[attempt_id] = _Stream(
            order, uncached_tokens, on_first_token, on_done, on_failed
        )
        self.peak = max(self.peak, len(self._streams))
        max_streams = max(
            self.shape.cold_stream_limit + self._completed, self._streams_at_reset
        )
        if (
            self._completed < self.shape.warmup_responses
            and len(self._streams) > max_streams
        ):
            self._crash()
            return
        self._schedule()

    def cancel(self, attempt_id: str) -> None:
        """Remove an attempt from the batch."""
        self._advance()
        self._streams.pop(attempt_id, None)
        self._schedule()

    def _crash(self) -> None:
        self.crashes += 1
        self.up = False
        self._completed = 0
        self._streams_at_reset = 0
        self._cache.clear()
        failed_streams, self._streams = list(self._streams.values()), {}
        self._version += 1
        self._clock.call_later(self.shape.restart_seconds, self._restart)
        for stream in failed_streams:
            stream.on_failed()

    def _restart(self) -> None:
        self.up = True
        self.starts += 1
        self._updated = self._clock.now
        self.on_restart()

    def _find_rates(self) -> tuple[float, float]:
        running = max(1, len(self._streams))
        prefilling = sum(1 for s in self._streams.values() if s.prefill > EPSILON)
        cold = self._completed < self.shape.warmup_responses
        speed = self.speed * (self.shape.cold_speed if cold else 1.0)
        speed *= min(1.0, self.shape.memory_streams / running) ** 2
        decode = (
            self.shape.decode_rate
            * speed
            * min(1.0, self.shape.full_rate_streams / running)
        )
        if prefilling:
            decode *= 0.5
        return self.shape.prefill_rate * speed / max(1, prefilling), decode

    def _advance(self) -> None:
        elapsed = self._clock.now - self._updated
        self._updated = self._clock.now
        if elapsed <= 0 or not self._streams:
            return
        prefill, decode = self._find_rates()
        for stream in self._streams.values():
            if stream.prefill > EPSILON:
                stream.prefill -= elapsed * prefill
            else:
                stream.decode -= elapsed * decode

    def _schedule(self) -> None:
        self._version += 1
        if not self._streams:
            return
        prefill, decode = self._find_rates()
        remaining = min(
            s.prefill / prefill if s.prefill > EPSILON else s.decode / decode
            for s in self._streams.values()
        )
        version = self._version
        delay = max(remaining, 1e-6)
        self._clock.call_later(delay, lambda: self._step(version))

    def _step(self, version: int) -> None:
        if version != self._version:
            return
        prefilling = [s for s in self._streams.values() if s.prefill > EPSILON]
        self._advance()
        prefilled = [s for s in prefilling if s.prefill <= EPSILON]
        ended = {i: s for i, s in self._streams.items() if s.decode <= EPSILON}
        for stream in prefilled:
            self._cache_prefix(stream.order)
        for attempt_id in ended:
            del self._streams[attempt_id]
            self._completed += 1
        self._schedule()
        for stream in prefilled:
            stream.on_first_token(stream.uncached_tokens)
        for stream in ended.values():
            stream.on_done()

    def _cache_prefix(self, order: Order) -> None:
        if not order.prefix:
            return
        self._cache[order.prefix] = order.shared_tokens
        self._cache.move_to_end(order.prefix)
        while len(self._cache) > self.shape.cached_prefixes:
            self._cache.popitem(last=False)
