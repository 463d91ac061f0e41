"""Ends attempts at silent targets: others run them, or their callers are told.

Guards against requests that a suspended target still has when their callers leave, and
against callers that wait in vain although another target could serve them.

Load pattern: a check of the attempts in flight, some hundreds, ten times a second; it
does nothing as long as no target is silent.
"""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.pause_tracker import PAUSE_SECONDS
from bamboopier_decisions.forwarding.stalled_attempt import (
    LONG_SILENCE_SECONDS,
    StallAction,
    StalledAttempt,
    choose_action,
)

from .attempt_result import Cause

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from bamboopier_decisions.forwarding.fleet import InFlightRequest
    from bamboopier_decisions.forwarding.stall_detector import StallDetector
    from bamboopier_decisions.forwarding.target_state import TargetState

    from .delivery import Delivery
    from .messages import Call
    from .target_connection import TargetConnection

# Seconds between two checks of the attempts in flight.
CHECK_INTERVAL_SECONDS = 0.1

log = structlog.get_logger()


class MonitoredAttempt:
    """An attempt from its send until its end."""

    __slots__ = (
        "aborted_for",
        "call",
        "claim_move",
        "connection",
        "delivery",
        "in_flight",
    )

    def __init__(
        self,
        call: Call,
        in_flight: InFlightRequest,
        connection: TargetConnection,
        delivery: Delivery,
        claim_move: Callable[[], bool],
    ) -> None:
        self.call = call
        self.in_flight = in_flight
        self.connection = connection
        self.delivery = delivery
        # Returns whether another target may run the request, and reserves the retry.
        self.claim_move = claim_move
        # Why the connection was aborted here.
        self.aborted_for: Cause | None = None


class StallMonitor:
    """Tracks the attempts in flight, and ends those at silent targets."""

    def __init__(self) -> None:
        self._attempts: set[MonitoredAttempt] = set()
        # Those of requests that were moved before.
        self._moved: set[MonitoredAttempt] = set()
        self._checked_at = read_clock()
        # Targets that were silent at the last check.
        self._silent: set[TargetState] = set()

    @contextmanager
    def watch(self, attempt: MonitoredAttempt) -> Iterator[MonitoredAttempt]:
        """Track an attempt from its send until it ends."""
        self._attempts.add(attempt)
        if attempt.call.moved:
            self._moved.add(attempt)
        try:
            yield attempt
        finally:
            self._forget(attempt)

    async def run(self) -> None:
        """Check at intervals until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self.check(read_clock())

    def check(self, now: float) -> None:
        """End the attempts that no longer wait for their silent targets.

        A target has to be silent in two checks in a row: after a suspension of this
        process, the bytes that came meanwhile are read between the two.
        """
        paused = now - self._checked_at >= PAUSE_SECONDS
        self._checked_at = now
        used = {attempt.in_flight.state for attempt in self._attempts}
        silent = {state for state in used if _is_silent(now, state.stall_detector)}
        confirmed = silent & self._silent
        self._silent = silent
        if paused:
            return
        # The first target of a moved request may have it until its caller leaves.
        checked = set(self._moved)
        if confirmed:
            checked |= {a for a in self._attempts if a.in_flight.state in confirmed}
        for attempt in checked:
            self._check_attempt(now, attempt)

    def _check_attempt(self, now: float, attempt: MonitoredAttempt) -> None:
        call, silent_since = attempt.call, attempt.in_flight.last_byte_at
        # While the caller reads too slowly, nothing more is read from the target.
        if silent_since is None or attempt.delivery.is_writing:
            return
        action = choose_action(
            now,
            StalledAttempt(
                attempt.in_flight.state.stall_detector.is_stalled(now),
                silent_since,
                call.leaves_at,
                attempt.delivery.started,
            ),
        )
        if action is StallAction.MOVE and attempt.claim_move():
            self._abort(now, attempt, Cause.MOVED)
        elif action is StallAction.END:
            self._abort(now, attempt, Cause.UNANSWERED)

    def _forget(self, attempt: MonitoredAttempt) -> None:
        self._attempts.discard(attempt)
        self._moved.discard(attempt)

    def _abort(self, now: float, attempt: MonitoredAttempt, cause: Cause) -> None:
        self._forget(attempt)
        attempt.aborted_for = cause
        attempt.call.moved |= cause is Cause.MOVED
        attempt.connection.abort()
        call, in_flight = attempt.call, attempt.in_flight
        log.info(
            "attempt at a silent target ended",
            request_id=call.request_id,
            target=in_flight.state.entry.name,
            cause=cause.value,
            silent_seconds=round(now - (in_flight.last_byte_at or now), 3),
            target_silence=round(in_flight.state.stall_detector.find_silence(now), 3),
            caller_leaves_in=round(call.leaves_at - now, 3),
            unread_seconds=round(call.unread_seconds, 3),
            response_started=attempt.delivery.started,
        )


def _is_silent(now: float, detector: StallDetector) -> bool:
    return detector.is_stalled(now) or detector.find_delay(now) >= LONG_SILENCE_SECONDS
