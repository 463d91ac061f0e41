"""Records the rate limits that targets report, and logs their changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from bamboopier_daemon.clock import read_clock

if TYPE_CHECKING:
    from bamboopier_decisions.forwarding.rate_limit import LimitUpdate
    from bamboopier_decisions.forwarding.target_state import TargetState

    from .messages import ResponseMetadata

log = structlog.get_logger()


def record_limit(
    state: TargetState, sent_at: float, metadata: ResponseMetadata, request_id: str
) -> None:
    """Record the limit in a target's own response to a request sent at ``sent_at``."""
    if metadata.reports_limit and metadata.limit_per_second is None:
        # The target still reports a limit: the last readable value stays in force.
        log.warning(
            "unreadable limit ignored", target=state.entry.name, request_id=request_id
        )
        return
    if metadata.limit_per_second is None:
        changed = state.rate_limit.record_no_limit(sent_at)
    else:
        changed = state.rate_limit.record_limit(read_clock(), metadata.limit_per_second)
    if changed:
        _log_limit(state, request_id=request_id)


def apply_limit_update(state: TargetState, update: LimitUpdate, sender: str) -> None:
    """Apply a limit that was reported to another gateway."""
    if state.rate_limit.apply_update(read_clock(), update):
        _log_limit(state, sender=sender)


def _log_limit(state: TargetState, **origin: str) -> None:
    limit = state.rate_limit
    if limit.in_force:
        event, per_second = "limit of a target", limit.per_second
        log.info(event, target=state.entry.name, per_second=per_second, **origin)
    else:
        log.info("limit of a target ended", target=state.entry.name, **origin)
