"""Logs and counts how attempts ended, and the state that they were based on."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.clock import read_clock

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.fleet import InFlightRequest

    from .active_configuration import ActiveConfiguration
    from .attempt_planner import AttemptPlanner
    from .attempt_result import AttemptResult
    from .messages import Call
    from .metrics import ProxyMetrics

# Maximum number of parts of a prompt in a log line.
MAX_LOGGED_PARTS = 8

log = structlog.get_logger()


class AttemptLog:
    """Counts and logs ended attempts."""

    def __init__(
        self,
        planner: AttemptPlanner,
        active_configuration: ActiveConfiguration,
        metrics: ProxyMetrics,
    ) -> None:
        self._planner = planner
        self._active_configuration = active_configuration
        self._metrics = metrics

    def record(
        self, call: Call, in_flight: InFlightRequest, result: AttemptResult
    ) -> None:
        """Record that an attempt has ended."""
        now = read_clock()
        self._metrics.sends.labels(call.service, result.cause.value).inc()
        if in_flight.entry_missing:
            self._metrics.sends_without_entry.labels(call.service).inc()
        if result.first_byte:
            self._metrics.first_byte.labels(call.service).observe(now - call.arrived)
        state = in_flight.state
        metadata, sent_at = result.metadata, result.sent_at or now
        parts = metadata.part_plan if metadata else None
        log.info(
            "attempt ended",
            request_id=call.request_id,
            service=call.service,
            fingerprint=call.fingerprint.hex(),
            target=state.entry.name,
            software_version=state.entry.software_version,
            # Of a resumed stream: after which event, and which request began it.
            resumed_after=metadata.last_event if metadata else None,
            resumed_request_id=call.resumed_request_id,
            ran=result.ran.value,
            cause=result.cause.value,
            is_retry=result.is_retry,
            detail=result.detail,
            status=result.status,
            first_byte=round(result.first_byte, 4),
            weight_version=metadata.weight_version if metadata else 0,
            newest_version=self._planner.find_allowed_weights(sent_at, call).newest,
            newest_age=self._planner.find_newest_age(sent_at, call),
            fetched_parts=parts.fetched_parts if parts else 0,
            requests=state.requests,
            unread=state.pending_prefill,
            memory=state.memory,
            # What its choice rested on: the prompt tokens pending there, its own
            # included, and how long before that the agent beside it had added them up.
            chosen_unread=in_flight.prefill_before,
            load_age=_round_age(in_flight.load_age),
            list_age=round(in_flight.list_age, 3),
            entry_missing=in_flight.entry_missing,
            silence=round(in_flight.silence, 3),
            waiting=in_flight.waiting,
            parts=_list_part_names(call),
            tokens_in=call.prompt.tokens_in if call.prompt else 0,
            tokens_out=call.prompt.tokens_out if call.prompt else 0,
            configuration=call.version,
            proof_age=round(self._active_configuration.freshness.find_age(now), 3),
        )

    def record_abandoned(self, call: Call, in_flight: InFlightRequest) -> None:
        """Record that an attempt was ended by its caller, or by an error here."""
        now = read_clock()
        sent_at = in_flight.sent_at
        log.info(
            "attempt abandoned",
            request_id=call.request_id,
            service=call.service,
            target=in_flight.state.entry.name,
            sent_seconds_ago=round(now - sent_at, 4) if sent_at is not None else None,
            attempts=len(call.tried),
            silence=round(in_flight.silence, 3),
            waiting=in_flight.waiting,
            target_silence=round(in_flight.state.stall_detector.find_silence(now), 3),
        )


def _round_age(age: float | None) -> float | None:
    return round(age, 4) if age is not None else None


def _list_part_names(call: Call) -> list[str]:
    if call.prompt is None:
        return []
    return [part.name for part in call.prompt.parts[:MAX_LOGGED_PARTS]]
