"""Tracks one agent's view of a claim partition across lost and delayed responses.

Load pattern: callers resend at once, to another gateway, when a response is late.
Without durable claims both attempts run. A claim counts as granted only when a write
was answered or a read shows the claim, never because a write was sent.

An agent also abandons claims: when the gateway disconnects, the platform does not
answer in time or the target cannot be reached. An abandoned claim may be stored in the
platform, or take effect there later, although nothing ran; the key would then answer
"outcome unknown" for its lifetime. The partition keeps abandoned claims until a version
shows that they are not stored and can no longer take effect, and leaves them out of
every later write.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .table import Claim, ClaimOutcome, ClaimStatus, merge_claims

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class ClaimPlan:
    """The next conditional update, or the outcomes if no write is needed."""

    claims: tuple[Claim, ...]
    expected_version: int
    # One for each requested claim; a grant is valid only once the write is answered.
    outcomes: tuple[ClaimOutcome, ...]
    needs_write: bool


class ClaimPartition:
    """Plans conditional updates of one object and applies their results.

    The caller makes one write at a time and reads before each plan, so that a refusal
    without a write is based on the current object and not on an old copy. ``lifetime``
    is in seconds, ``capacity`` in claims.
    """

    __slots__ = (
        "_abandoned",
        "_capacity",
        "_claims",
        "_in_flight_ids",
        "_lifetime",
        "_uncertain_ids",
        "_uncertain_version",
        "_version",
    )

    def __init__(self, lifetime: float, capacity: int) -> None:
        self._lifetime = lifetime
        self._capacity = capacity
        self._version = 0
        self._claims: tuple[Claim, ...] = ()
        # Ids of the claims in the write in flight, and in writes with a lost response.
        self._in_flight_ids: set[str] = set()
        self._uncertain_ids: set[str] = set()
        # Claims of this agent under which nothing ran or will run, by id.
        self._abandoned: dict[str, Claim] = {}
        # Highest version that a write with a lost response expected; -1 when none.
        self._uncertain_version = -1

    @property
    def version(self) -> int:
        """Return the version shown by the last read or answered write."""
        return self._version

    @property
    def all_released(self) -> bool:
        """Return whether no abandoned claim is stored or may still take effect."""
        return not self._abandoned

    def is_abandoned(self, key: bytes) -> bool:
        """Return whether this agent abandoned a claim on ``key`` without running it."""
        return any(claim.key == key for claim in self._abandoned.values())

    def abandon(self, claim: Claim, granted_at: int = 0) -> None:
        """Abandon a claim; nothing has run under it and nothing ever will.

        ``granted_at`` is the version that showed a granted claim: an older replica,
        which does not have it yet, does not prove that it is gone. A claim that was
        never written needs no release; otherwise an outage that refuses every claim
        would leave a release to be done for each of them.
        """
        claim_id = claim.claim_id
        written = claim_id in self._in_flight_ids or claim_id in self._uncertain_ids
        if granted_at or written or claim_id in self._list_stored_ids():
            self._abandoned[claim_id] = claim
            self._uncertain_version = max(self._uncertain_version, granted_at - 1)

    def plan(self, requested: Sequence[Claim], now: float) -> ClaimPlan:
        """Return the update that adds ``requested`` and drops abandoned claims."""
        kept = [c for c in self._claims if c.claim_id not in self._abandoned]
        merged, outcomes = merge_claims(
            kept, requested, now, self._lifetime, self._capacity
        )
        granted = {
            outcome.current.claim_id
            for outcome in outcomes
            if outcome.status is ClaimStatus.GRANTED and outcome.current is not None
        }
        self._in_flight_ids = granted - self._list_stored_ids()
        drops = len(kept) < len(self._claims)
        # A write with a lost response can take effect as long as the object has the
        # version that it expects. Advancing the version makes that impossible.
        must_advance = (
            bool(self._abandoned) and self._version <= self._uncertain_version
        )
        needs_write = bool(self._in_flight_ids) or drops or must_advance
        return ClaimPlan(merged, self._version, tuple(outcomes), needs_write)

    def commit(self, plan: ClaimPlan, version: int) -> None:
        """Record that the planned write was answered with ``version``."""
        self._in_flight_ids.clear()
        self._version, self._claims = version, plan.claims
        self._drop_released()

    def abort(self) -> None:
        """Record that the planned write certainly had no effect."""
        for claim_id in self._in_flight_ids - self._uncertain_ids:
            self._abandoned.pop(claim_id, None)
        self._in_flight_ids.clear()

    def mark_uncertain(self, plan: ClaimPlan) -> None:
        """Record that the planned write may have taken effect, or still may."""
        self._uncertain_version = max(self._uncertain_version, plan.expected_version)
        self._uncertain_ids |= self._in_flight_ids
        self._in_flight_ids.clear()

    def apply_read(self, version: int, claims: tuple[Claim, ...]) -> None:
        """Apply the result of a read, possibly from a lagging replica."""
        self._version, self._claims = version, claims
        self._drop_released()

    def _drop_released(self) -> None:
        if self._version <= self._uncertain_version:
            return
        self._uncertain_ids.clear()
        stored_ids = self._list_stored_ids()
        for claim_id in list(self._abandoned):
            if claim_id not in stored_ids:
                del self._abandoned[claim_id]

    def _list_stored_ids(self) -> set[str]:
        return {claim.claim_id for claim in self._claims}
