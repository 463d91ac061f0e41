"""Admits requests to the target as the admission controller decides."""

from __future__ import annotations

import asyncio
import time
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from bamboopier_decisions.admission.messages import (
    FirstTokenReceived,
    Reject,
    RequestCancelled,
    RequestFinished,
    Start,
    Tick,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from bamboopier_decisions.admission.controller import AdmissionController
    from bamboopier_decisions.admission.messages import (
        AdmissionEvent,
        AdmissionRequested,
    )

TICK_SECONDS = 0.1


class Entry:
    """The state of one request at the gate; ``reject`` is set if it is not admitted."""

    __slots__ = (
        "_gate",
        "_request_id",
        "succeeded",
        "failed",
        "prefill_tokens",
        "output_tokens",
        "reject",
    )

    def __init__(self, gate: AdmissionGate, request_id: str) -> None:
        self._gate = gate
        self._request_id = request_id
        self.reject: Reject | None = None
        # Both False: the caller disconnected, or the request was refused afterwards.
        self.succeeded = False
        self.failed = False
        self.output_tokens = 0
        self.prefill_tokens = 0

    def mark_first_byte(self) -> None:
        """Report to the controller that the target has started to respond.

        The number of prefilled tokens is only reported with the usage at the end of
        the response.
        """
        self._gate.handle(FirstTokenReceived(time.monotonic(), self._request_id, 0))


class AdmissionGate:
    """Drives an ``AdmissionController`` with requests and the monotonic clock."""

    def __init__(self, admission: AdmissionController) -> None:
        self.admission = admission
        self._waiters: dict[str, asyncio.Future[Reject | None]] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    @asynccontextmanager
    async def enter(self, work: AdmissionRequested) -> AsyncIterator[Entry]:
        """Wait for admission and yield the entry; check its ``reject`` first."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[work.request_id] = waiter
        entry = Entry(self, work.request_id)
        self.handle(work)
        try:
            entry.reject = await waiter
        except asyncio.CancelledError:
            self._cancel(work.request_id)
            raise
        if entry.reject is not None:
            yield entry
            return
        self._idle.clear()
        try:
            yield entry
        finally:
            self.handle(_describe_end(entry, work.request_id))
            if self.admission.running == 0:
                self._idle.set()

    def handle(self, event: AdmissionEvent) -> None:
        """Pass an event to the controller and apply the decisions it returns."""
        for decision in self.admission.handle(event):
            waiter = self._waiters.pop(decision.request_id, None)
            if waiter is None or waiter.done():
                continue
            waiter.set_result(None if isinstance(decision, Start) else decision)

    async def run(self) -> None:
        """Send a ``Tick`` to the controller every ``TICK_SECONDS`` until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.handle(Tick(time.monotonic()))

    async def wait_until_idle(self) -> None:
        """Return once no admitted request is running."""
        await self._idle.wait()

    def _cancel(self, request_id: str) -> None:
        """Cancel a request whose gateway disconnected before or at its admission."""
        self._waiters.pop(request_id, None)
        now = time.monotonic()
        self.handle(RequestCancelled(now, request_id))
        self.handle(RequestFinished(now, request_id, succeeded=False, cancelled=True))


def _describe_end(entry: Entry, request_id: str) -> RequestFinished:
    return RequestFinished(
        now=time.monotonic(),
        request_id=request_id,
        succeeded=entry.succeeded,
        output_tokens=entry.output_tokens,
        cancelled=not entry.succeeded and not entry.failed,
        prefill_tokens=entry.prefill_tokens,
    )
