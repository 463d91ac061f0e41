"""Sends one admitted attempt to the target, and builds the events of its response."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog

from bamboopier_protocol import agent_pb2 as pb

from .errors import BrokenResponseError, TargetUnreachableError
from .forwarded_request import (
    has_framing,
    list_headers,
    list_response_headers,
    make_body,
)
from .usage import UsageReader

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from .context import ContextBlockManager
    from .event_builder import EventBuilder
    from .event_stream import EventStream
    from .gate import Entry
    from .metrics import AgentMetrics
    from .response_cache import CachedResponse, ResponseCache
    from .target import TargetClient
    from .target_monitor import TargetMonitor

# How long a non-idempotent call may run past its deadline, so that its response is
# cached when the caller repeats the key. Without a limit, calls to a hung target would
# occupy all its slots.
DEADLINE_GRACE_SECONDS = 60.0

log = structlog.get_logger()


class AttemptRunner:
    """Runs attempts at the one target of this agent."""

    def __init__(
        self,
        target_name: str,
        target: TargetClient,
        response_cache: ResponseCache,
        context: ContextBlockManager,
        monitor: TargetMonitor,
        metrics: AgentMetrics,
    ) -> None:
        self._target_name = target_name
        self._target = target
        self._response_cache = response_cache
        self._context = context
        self._monitor = monitor
        self._metrics = metrics

    async def run(
        self,
        request: pb.ServeRequest,
        builder: EventBuilder,
        entry: Entry,
        stream: EventStream,
        cached_response: CachedResponse | None,
    ) -> AsyncGenerator[pb.ServeEvent]:
        """Run an attempt and yield its events; ``entry`` gets what it has used.

        ``cached_response`` collects the response of a call with an idempotency key.
        """
        started = time.monotonic()
        fetched = await self._context.fetch(request) if request.model.model else 0
        if time.monotonic() >= stream.deadline:
            # This process was suspended or the platform was slow for so long that the
            # caller has its final response. A resumed process must not run the request.
            yield builder.make_not_run(pb.DEADLINE)
            return
        usage = UsageReader()
        sent = time.monotonic()
        first_byte = 0.0
        start_id = self._monitor.start_id
        stream.detached = not request.idempotent
        try:
            async with (
                asyncio.timeout_at(stream.deadline + DEADLINE_GRACE_SECONDS),
                self._target.open(
                    request.method,
                    request.path,
                    list_headers(request),
                    make_body(request),
                ) as response,
            ):
                first_byte = time.monotonic() - sent
                self._metrics.first_byte.observe(time.monotonic() - started)
                version = response.headers.get("Weight-Version", "")
                headers = list_response_headers(response)
                if cached_response is not None:
                    cached_response.status, cached_response.headers = (
                        response.status,
                        headers,
                    )
                    cached_response.weight_version = version
                entry.mark_first_byte()
                yield builder.make_head(response.status, headers, version)
                async for chunk in response.content.iter_any():
                    usage.add(chunk)
                    if cached_response is not None:
                        self._response_cache.add(cached_response, chunk)
                    yield builder.make_chunk(chunk)
                # Without framing a response ends alike whether its target completed it
                # or ended itself.
                is_framed = has_framing(response.status, response.headers)
                if not is_framed and await self._monitor.has_ended(start_id):
                    raise BrokenResponseError("the target ended with its response")
        except TargetUnreachableError as error:
            entry.failed = True
            self._log_outcome(request, "not-run", 0)
            yield builder.make_not_run(pb.TARGET_DOWN, detail=str(error))
            return
        except (BrokenResponseError, TimeoutError) as error:
            entry.failed = True
            self._log_outcome(request, "unknown", 0)
            has_ended = await self._monitor.has_ended(start_id)
            cause = pb.TARGET_CRASHED if has_ended else pb.RESPONSE_BROKEN
            yield builder.make_unknown(cause, str(error))
            return
        counts = usage.read()
        entry.succeeded = True
        if request.model.model:
            prefill_tokens = max(0, counts.prompt_tokens - counts.cached_tokens)
            self._context.record_response(
                request, counts.cached_tokens, prefill_tokens, first_byte
            )
        entry.output_tokens = counts.completion_tokens
        entry.prefill_tokens = max(0, counts.prompt_tokens - counts.cached_tokens)
        self._count_tokens(counts.prompt_tokens, counts.cached_tokens, fetched)
        self._log_outcome(request, "finished", counts.cached_tokens)
        yield builder.make_finished(
            pb.Finished(
                prompt_tokens=counts.prompt_tokens,
                cached_tokens=counts.cached_tokens,
                fetched_tokens=fetched * self._context.find_block_tokens(request),
                output_tokens=counts.completion_tokens,
            )
        )

    def _count_tokens(self, prompt: int, cached: int, fetched: int) -> None:
        self._metrics.outcomes.labels("finished").inc()
        self._metrics.prompt_tokens.labels("recomputed").inc(max(0, prompt - cached))
        self._metrics.prompt_tokens.labels("reused").inc(cached)
        self._metrics.link_blocks.labels("fetch").inc(fetched)

    def _log_outcome(self, request: pb.ServeRequest, outcome: str, cached: int) -> None:
        log.info(
            "attempt ended",
            request_id=request.request_id,
            workspace=request.workspace,
            target=self._target_name,
            outcome=outcome,
            cached_tokens=cached,
        )
