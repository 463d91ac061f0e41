"""Applies what a target reports of itself in a response, and logs its changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.clock import read_clock

from .limit_updates import record_limit

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.fleet import InFlightRequest

    from .messages import Call, ResponseMetadata

log = structlog.get_logger()


def record_reports(
    call: Call, in_flight: InFlightRequest, sent_at: float, metadata: ResponseMetadata
) -> None:
    """Record the reports in the response to a request sent at ``sent_at``."""
    state = in_flight.state
    if metadata.cold_seconds > 0:
        state.cold_start.start(read_clock(), metadata.cold_seconds)
    # The instance itself also rejects what expects other weights.
    if metadata.misdirected and metadata.target != state.entry.name:
        return
    _record_leaving(call, in_flight, metadata)
    if metadata.misdirected:
        return
    if call.prompt is not None and metadata.weight_version:
        state.record_version(call.prompt.model, metadata.weight_version)
    _record_rest(call, in_flight, metadata)
    if metadata.sealed or metadata.not_run:
        record_limit(state, sent_at, metadata, call.request_id)


def _record_leaving(
    call: Call, in_flight: InFlightRequest, metadata: ResponseMetadata
) -> None:
    """Record that the target leaves; an instance that leaves does not come back."""
    state = in_flight.state
    if not metadata.leaving or state.reports_leaving:
        return
    state.reports_leaving = True
    name, request_id = state.entry.name, call.request_id
    log.info("target reports that it leaves", target=name, request_id=request_id)


def _record_rest(
    call: Call, in_flight: InFlightRequest, metadata: ResponseMetadata
) -> None:
    """Record the rest that the target asks for, or that it needs none.

    Any rejection counts, sealed or not: a rest that nobody asked for costs little.
    """
    state = in_flight.state
    if not metadata.asks_for_rest:
        if in_flight.ramped:
            state.rest.record_response()
        return
    fields = {"target": state.entry.name, "request_id": call.request_id}
    if metadata.rest_seconds is None:
        log.warning("unreadable rest ignored", **fields)
    elif state.rest.record_rest(read_clock(), metadata.rest_seconds):
        log.info("target asks for rest", seconds=metadata.rest_seconds, **fields)
