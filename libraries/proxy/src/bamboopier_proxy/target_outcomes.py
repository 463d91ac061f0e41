"""Updates what is known of a target by how an attempt at it ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bamboopier_daemon.clock import read_clock

from .attempt_result import Cause

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.fleet import InFlightRequest

    from .attempt_result import AttemptResult
    from .crash_monitor import CrashMonitor
    from .messages import Call

# Seconds for which a target gets no requests after it rejected one without running it:
# it is full, stopping, or loading weights.
NOT_RUN_BACKOFF_SECONDS = 0.15
# Seconds for which a target gets no requests after another target responded at its
# address. Its entry expires after three missed heartbeats; a new instance has an entry
# of its own.
REPLACED_BACKOFF_SECONDS = 5.0


class TargetOutcomes:
    """Records results at the targets' circuit breakers and at the crash monitor."""

    def __init__(self, crash_monitor: CrashMonitor) -> None:
        self._crash_monitor = crash_monitor

    def record(
        self, call: Call, in_flight: InFlightRequest, result: AttemptResult
    ) -> None:
        """Update the state of the target by the result of an attempt."""
        state = in_flight.state
        now = read_clock()
        match result.cause:
            case Cause.NONE if result.failure is not None:
                state.circuit_breaker.record_failure(now)
            case Cause.NONE:
                state.circuit_breaker.record_success()
                self._crash_monitor.record_completed(
                    call, succeeded=result.status < 400
                )
            case Cause.UNPROVED:
                state.circuit_breaker.record_failure(now)
            case Cause.CONNECT:
                state.circuit_breaker.record_unreachable(now)
            case Cause.NOT_RUN:
                state.busy_until = now + NOT_RUN_BACKOFF_SECONDS
                state.circuit_breaker.record_inconclusive()
            case Cause.MISDIRECTED:
                state.circuit_breaker.record_inconclusive()
                if result.wrong_target:
                    # This instance of the target has ended; its entry expires later.
                    state.busy_until = now + REPLACED_BACKOFF_SECONDS
            case (
                Cause.CLOSED
                | Cause.STALLED
                | Cause.RESTING
                | Cause.LATE
                | Cause.DENIED
                | Cause.OUTDATED
            ):
                state.circuit_breaker.record_inconclusive()
            case Cause.MOVED | Cause.UNANSWERED:
                # The stall detector keeps requests from it.
                state.circuit_breaker.record_inconclusive()
                self._crash_monitor.record_unfinished(call, in_flight, broken=False)
            case Cause.BROKEN | Cause.UNSEALED | Cause.TIMEOUT:
                state.circuit_breaker.record_failure(now)
                broken = result.cause is Cause.BROKEN
                self._crash_monitor.record_unfinished(call, in_flight, broken=broken)

    def record_abandoned(self, call: Call, in_flight: InFlightRequest) -> None:
        """Record that an attempt was ended by its caller, or by an error here."""
        in_flight.state.circuit_breaker.record_inconclusive()
        self._crash_monitor.record_unfinished(call, in_flight, broken=False)
