"""Polls the target's start id, weight version and cache events."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import TYPE_CHECKING

from result import Err

from bamboopier_decisions.admission.messages import TargetRestarted

from .errors import TargetUnreachableError

if TYPE_CHECKING:
    from .context import ContextBlockManager
    from .gate import AdmissionGate
    from .target import TargetClient

POLL_SECONDS = 0.5
# Time for a check of whether the target ended: a caller waits for its outcome.
CHECK_TIMEOUT_SECONDS = 0.25


class TargetMonitor:
    """Holds the state that the target reported last."""

    def __init__(
        self, target: TargetClient, gate: AdmissionGate, context: ContextBlockManager
    ) -> None:
        self._target = target
        self._gate = gate
        self._context = context
        self._event_position = 0
        self.start_id = ""
        self.version = ""
        self.reachable = False
        # Nothing listens at its address.
        self._refuses = False
        self._checked = asyncio.Event()

    async def wait_until_checked(self, timeout: float) -> None:
        """Return after the first poll, or after ``timeout`` seconds without one."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._checked.wait()

    async def run(self) -> None:
        """Poll until cancelled; the target is on this VM, so no link is used."""
        while True:
            await self.refresh()
            self._checked.set()
            await asyncio.sleep(POLL_SECONDS)

    async def refresh(self) -> None:
        """Poll the target once."""
        result = await self._target.read_state()
        if isinstance(result, Err):
            self.reachable = False
            self._refuses = isinstance(result.err_value, TargetUnreachableError)
            return
        state = result.ok_value
        self.reachable = True
        self._refuses = False
        self.version = state.version
        if state.start_id != self.start_id:
            self._handle_restart(state.start_id)
        if state.version:
            await self._read_events()

    async def has_ended(self, start_id: str) -> bool:
        """Return whether the target's instance that had ``start_id`` has ended.

        A broken response alone shows no crash: the target may break one connection and
        live on. One that ended reports another start, or nothing listens there.
        """
        if self.start_id == start_id:
            with suppress(TimeoutError):
                async with asyncio.timeout(CHECK_TIMEOUT_SECONDS):
                    await self.refresh()
        return self.start_id != start_id or self._refuses

    def _handle_restart(self, start_id: str) -> None:
        self.start_id = start_id
        self._event_position = 0
        self._context.clear_resident()
        self._gate.handle(TargetRestarted(time.monotonic()))

    async def _read_events(self) -> None:
        result = await self._target.read_events(self._event_position)
        if isinstance(result, Err):
            return
        events = result.ok_value
        if events.start_id != self.start_id:
            return
        # With fewer events than positions some were lost, so any block may be evicted.
        gap = events.next - self._event_position != len(events.events)
        self._context.apply_events(events, gap=gap)
        self._event_position = events.next
