"""A fake engine: finite batch, shared prefill, prefix cache, cold and slow phases."""

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
    """Speeds in tokens a second."""

    prefill_rate: float = 8000.0
    decode_rate: float = 40.0
    # Streams that decode at full rate; more of them share it.
    knee: int = 16
    # Streams that fit in memory; with more the engine swaps and slows down.
    memory: int = 24
    cached_prefixes: int = 60
    # Speed of a cold engine, the answers until it is warm, and the streams it bears
    # when it has answered none; one more and it falls over.
    cold_speed: float = 0.25
    cold_answers: int = 24
    cold_streams: int = 3
    restart_seconds: float = 3.0


class _Stream:
    __slots__ = ("decode", "done", "failed", "first", "new", "order", "prefill")

    def __init__(
        self,
        order: Order,
        new: int,
        first: Callable[[int], None],
        done: Callable[[], None],
        failed: Callable[[], None],
    ) -> None:
        self.order = order
        self.new = new
        self.prefill = float(max(1, new))
        self.decode = float(max(1, order.output_tokens))
        self.first = first
        self.done = done
        self.failed = failed


class SimulatedEngine:
    """Advances its streams lazily, at each change of the batch."""

    def __init__(self, clock: SimulatedClock, shape: EngineShape, cold: bool) -> None:
        self._clock = clock
        self.shape = shape
        self.speed = 1.0
        self.starts = 1
        self.falls = 0
        self.up = True
        self.peak = 0
        self.recomputed = 0
        self.on_restart: Callable[[], None] = lambda: None
        self._answers = 0 if cold else shape.cold_answers
        # What ran when it turned cold it goes on bearing.
        self._carried = 0
        self._streams: dict[str, _Stream] = {}
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._updated = 0.0
        self._version = 0

    def chill(self) -> None:
        """Lose warmth without a restart that anyone could see."""
        self._advance()
        self._answers = 0
        self._carried = len(self._streams)
        self._cache.clear()
        self._schedule()

    def set_speed(self, speed: float) -> None:
        """Run at ``speed`` times the normal rates."""
        self._advance()
        self.speed = speed
        self._schedule()

    def run(
        self,
        ask_id: str,
        order: Order,
        first: Callable[[int], None],
        done: Callable[[], None],
        failed: Callable[[], None],
    ) -> None:
        """Add an order to the batch."""
        self._advance()
        known = self._cache.get(order.prefix, 0)
        new = order.prompt_tokens - min(known, order.shared_tokens)
        self.recomputed += min(order.shared_tokens, new)
        self._streams[ask_id] = _Stream(order, new, first, done, failed)
        self.peak = max(self.peak, len(self._streams))
        bearable = max(self.shape.cold_streams + self._answers, self._carried)
        if self._answers < self.shape.cold_answers and len(self._streams) > bearable:
            self._fall_over()
            return
        self._schedule()

    def cancel(self, ask_id: str) -> None:
        """Take an order out of the batch."""
        self._advance()
        self._streams.pop(ask_id, None)
        self._schedule()

    def _fall_over(self) -> None:
        self.falls += 1
        self.up = False
        self._answers = 0
        self._carried = 0
        self._cache.clear()
        fallen, self._streams = list(self._streams.values()), {}
        self._version += 1
        self._clock.call_later(self.shape.restart_seconds, self._restart)
        for stream in fallen:
            stream.failed()

    def _restart(self) -> None:
        self.up = True
        self.starts += 1
        self._updated = self._clock.now
        self.on_restart()

    def _find_rates(self) -> tuple[float, float]:
        running = max(1, len(self._streams))
        filling = sum(1 for s in self._streams.values() if s.prefill > EPSILON)
        cold = self._answers < self.shape.cold_answers
        speed = self.speed * (self.shape.cold_speed if cold else 1.0)
        speed *= min(1.0, self.shape.memory / running) ** 2
        decode = self.shape.decode_rate * speed * min(1.0, self.shape.knee / running)
        if filling:
            decode *= 0.5
        return self.shape.prefill_rate * speed / max(1, filling), decode

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
        left = min(
            s.prefill / prefill if s.prefill > EPSILON else s.decode / decode
            for s in self._streams.values()
        )
        version = self._version
        delay = max(left, 1e-6)
        self._clock.call_later(delay, lambda: self._step(version))

    def _step(self, version: int) -> None:
        if version != self._version:
            return
        filling = [s for s in self._streams.values() if s.prefill > EPSILON]
        self._advance()
        prefilled = [s for s in filling if s.prefill <= EPSILON]
        ended = {i: s for i, s in self._streams.items() if s.decode <= EPSILON}
        for stream in prefilled:
            self._remember(stream.order)
        for ask_id in ended:
            del self._streams[ask_id]
            self._answers += 1
        self._schedule()
        for stream in prefilled:
            stream.first(stream.new)
        for stream in ended.values():
            stream.done()

    def _remember(self, order: Order) -> None:
        if not order.prefix:
            return
        self._cache[order.prefix] = order.shared_tokens
        self._cache.move_to_end(order.prefix)
        while len(self._cache) > self.shape.cached_prefixes:
            self._cache.popitem(last=False)
