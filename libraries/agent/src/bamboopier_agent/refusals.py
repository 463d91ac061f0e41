"""Builds the events for refused attempts, none of which has run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bamboopier_decisions.admission.messages import Reject, RejectReason
from bamboopier_decisions.claims.table import ClaimStatus
from bamboopier_protocol import agent_pb2 as pb

if TYPE_CHECKING:
    from bamboopier_decisions.claims.table import ClaimOutcome

    from .event_builder import EventBuilder

_CAUSES = {
    RejectReason.QUEUE_FULL: pb.QUEUE_FULL,
    RejectReason.FAIR_SHARE: pb.FAIR_SHARE,
    RejectReason.DEADLINE: pb.DEADLINE,
    RejectReason.STOPPING: pb.STOPPING,
    RejectReason.BUSY: pb.BUSY,
}
# A full partition has space again only when claims expire.
TABLE_FULL_RETRY_SECONDS = 60.0


def make_rejection(builder: EventBuilder, reject: Reject) -> pb.ServeEvent:
    """Return the event for an attempt that admission rejected."""
    return builder.make_not_run(_CAUSES[reject.reason], reject.retry_after)


def make_claim_refusal(builder: EventBuilder, outcome: ClaimOutcome) -> pb.ServeEvent:
    """Return the event for a claim that was not granted."""
    current = outcome.current
    if outcome.status is ClaimStatus.FULL or current is None:
        return builder.make_not_run(pb.KEY_TABLE_FULL, TABLE_FULL_RETRY_SECONDS)
    if outcome.status is ClaimStatus.REUSED:
        return builder.make_not_run(pb.KEY_REUSED)
    return builder.make_not_run(
        pb.KEY_CLAIMED, claimed_by=current.holder, claim_id=current.claim_id
    )
