"""Detects suspensions of this process, and reports them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog
from prometheus_client import CollectorRegistry, Counter

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.pause_tracker import TICK_SECONDS, PauseTracker

if TYPE_CHECKING:
    from collections.abc import Callable

log = structlog.get_logger()


class PauseMonitor:
    """Ticks while it runs; a late tick shows a pause, which is logged and counted."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self.pauses = PauseTracker(read_clock())
        self._paused = Counter(
            "bamboopier_paused_seconds",
            "Seconds for which this process or its machine was suspended",
            registry=registry,
        )
        # Each is called with the time at which a pause ended, and its seconds.
        self.listeners: list[Callable[[float, float], None]] = []

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_SECONDS)

    def tick(self) -> None:
        """Record that the process is running; report a pause that has ended."""
        now = read_clock()
        seconds = self.pauses.record_tick(now)
        if not seconds:
            return
        for listener in self.listeners:
            listener(now, seconds)
        self._paused.inc(seconds)
        log.warning("process paused", seconds=round(seconds, 3))
