"""Aborts requests that a target has not started before its weight version expires.

Guards against responses from an expired weight version: a request is sent while an
older version is still allowed, and its target is suspended or full for seconds. By the
time the target starts it, the version has expired. The monitor resets the connection of
every request that has not started by then, so that the target drops it.

Load pattern: the number of in-flight requests whose response has not started, some
tens.
"""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.clock import read_clock

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bamboopier_decisions.forwarding.weight_versions import WeightVersions

    from .messages import AttemptMetadata, Call
    from .target_connection import TargetConnection

# Seconds between two checks of the pending requests.
CHECK_INTERVAL_SECONDS = 0.1

log = structlog.get_logger()


class PendingRequest:
    """A request at a target whose response has not started."""

    __slots__ = ("aborted", "call", "connection", "metadata")

    def __init__(
        self, call: Call, metadata: AttemptMetadata, connection: TargetConnection
    ) -> None:
        self.call = call
        self.metadata = metadata
        self.connection = connection
        self.aborted = False


class WeightExpiryMonitor:
    """Tracks requests pending at targets, and aborts those that wait too long."""

    def __init__(self, weights: WeightVersions) -> None:
        self._weights = weights
        self._pending: set[PendingRequest] = set()

    @contextmanager
    def watch(
        self, call: Call, metadata: AttemptMetadata, connection: TargetConnection
    ) -> Iterator[PendingRequest]:
        """Track a request from its send until its response starts or it ends."""
        pending = PendingRequest(call, metadata, connection)
        if call.prompt is not None:
            self._pending.add(pending)
        try:
            yield pending
        finally:
            self.record_started(pending)

    def record_started(self, pending: PendingRequest) -> None:
        """Record that the target's response has started."""
        self._pending.discard(pending)

    def abort_expired(self, now: float) -> None:
        """Abort the requests that may no longer start at time ``now``, in seconds."""
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
                "pending request aborted",
                request_id=pending.call.request_id,
                target=pending.metadata.target,
                weight_version=pending.metadata.weight_version,
                oldest_version=oldest,
            )

    async def run(self) -> None:
        """Check at intervals until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self.abort_expired(read_clock())
