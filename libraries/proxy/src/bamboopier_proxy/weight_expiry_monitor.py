"""Takes back requests that wait at a target until its weights may serve no more.

Failure answered: a request leaves while older weights may still serve, and its target
is suspended or full for seconds. It would begin when their time is over, and its caller
be answered on weights that were replaced. What has not begun by then is taken back: its
connection is reset, and a target that goes on finds nobody to work for.

Load pattern: as many requests as are under way without a first answer, some tens.
"""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.clock import read_clock

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bamboopier_decisions.forwarding.weight_versions import WeightVersions

    from .messages import AttemptMetadata, Call
    from .target_connection import TargetConnection

# Seconds between two looks at what waits.
CHECK_INTERVAL_SECONDS = 0.1

log = structlog.get_logger()


@dataclass(eq=False, slots=True)
class PendingRequest:
    """A request at a target whose answer has not begun."""

    call: Call
    metadata: AttemptMetadata
    connection: TargetConnection
    aborted: bool = False


class WeightExpiryMonitor:
    """Knows the requests that wait at targets, and ends those that wait too long."""

    def __init__(self, weights: WeightVersions) -> None:
        self._weights = weights
        self._pending: set[PendingRequest] = set()

    @contextmanager
    def watch(
        self, call: Call, metadata: AttemptMetadata, connection: TargetConnection
    ) -> Iterator[PendingRequest]:
        """Watch a request from its sending to its end, or until it has begun."""
        pending = PendingRequest(call, metadata, connection)
        if call.prompt is not None:
            self._pending.add(pending)
        try:
            yield pending
        finally:
            self.record_started(pending)

    def record_started(self, pending: PendingRequest) -> None:
        """Take in that the target's answer has begun."""
        self._pending.discard(pending)

    def abort_expired(self, now: float) -> None:
        """Take back what may not begin any more."""
        for pending in list(self._pending):
            prompt = pending.call.prompt
            if prompt is None:
                continue
            oldest = self._weights.find_oldest_waiting(now, prompt.model)
            if pending.metadata.weight_version >= oldest:
                continue
            self._pending.discard(pending)
            pending.aborted = True
            pending.connection.abort()
            log.info(
                "request taken back",
                request_id=pending.call.request_id,
                target=pending.metadata.target,
                weight_version=pending.metadata.weight_version,
                oldest_version=oldest,
            )

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self.abort_expired(read_clock())
