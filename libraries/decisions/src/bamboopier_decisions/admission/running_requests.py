"""The requests that a target is processing, and what their times say of the target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .cost_estimator import MIN_DECODE_SAMPLE_TOKENS

if TYPE_CHECKING:
    from .concurrency_limit import ConcurrencyLimit
    from .cost_estimator import CostEstimator
    from .fair_queue import QueuedRequest
    from .messages import AdmissionRequested, FirstTokenReceived, RequestFinished


class RunningRequest:
    """A request that the target is processing."""

    __slots__ = ("arrival", "first_token_at", "request", "started_at")

    def __init__(
        self, request: QueuedRequest, arrival: AdmissionRequested, started_at: float
    ) -> None:
        self.request = request
        self.arrival = arrival
        self.started_at = started_at
        self.first_token_at: float | None = None


class RunningRequests:
    """Running requests by id; updates the limit and the estimates by their times."""

    def __init__(self, limit: ConcurrencyLimit, cost_estimator: CostEstimator) -> None:
        self._limit = limit
        self._cost_estimator = cost_estimator
        self._requests: dict[str, RunningRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def start(
        self, request: QueuedRequest, arrival: AdmissionRequested, now: float
    ) -> None:
        """Record that a request was sent to the target."""
        self._requests[request.request_id] = RunningRequest(request, arrival, now)

    def record_first_token(self, event: FirstTokenReceived) -> None:
        """Record that the target has prefilled a request."""
        running = self._requests.get(event.request_id)
        if running is None or running.first_token_at is not None:
            return
        running.first_token_at = event.now
        if event.prefill_tokens > 0:
            self._measure_prefill(running, event.prefill_tokens)

    def end(
        self, event: RequestFinished, *, is_queue_empty: bool
    ) -> RunningRequest | None:
        """Record the end of a request, and return it; None if it was not running."""
        running = self._requests.get(event.request_id)
        if running is None:
            return None
        if event.prefill_tokens > 0:
            self._measure_prefill(running, event.prefill_tokens)
        del self._requests[event.request_id]
        if event.succeeded:
            self._record_success(event, running, is_queue_empty=is_queue_empty)
        elif not event.cancelled:
            self._limit.record_failure()
        return running

    def _measure_prefill(self, running: RunningRequest, prefill_tokens: int) -> None:
        if running.first_token_at is None:
            return
        seconds = running.first_token_at - running.started_at
        ratio = self._cost_estimator.compare_first_token(prefill_tokens, seconds)
        # Prompts that are prefilled concurrently share the engine's prefill rate.
        self._limit.record_first_token(ratio / len(self._requests))
        prompt_tokens = running.arrival.prompt_tokens
        self._cost_estimator.record_first_token(prompt_tokens, prefill_tokens, seconds)

    def _record_success(
        self, event: RequestFinished, running: RunningRequest, *, is_queue_empty: bool
    ) -> None:
        seconds = event.now - running.started_at
        decode_seconds = event.now - (running.first_token_at or running.started_at)
        arrival = running.arrival
        tokens = event.output_tokens
        self._cost_estimator.record_success(
            seconds, decode_seconds, tokens, arrival.max_tokens
        )
        latency = 0.0
        if tokens >= MIN_DECODE_SAMPLE_TOKENS:
            latency = decode_seconds / tokens
        elif arrival.max_tokens == 0:
            latency = seconds
        in_use = len(self._requests) + 1
        if not is_queue_empty:
            # Requests of heavy hitters may be queued although slots are free.
            in_use = max(in_use, self._limit.value)
        self._limit.record_success(in_use, latency)
