"""The content of one claim partition and the rules for adding to it.

A partition is one platform object; its conditional update serialises all agents that
claim keys in it. A stored key is never granted again within its lifetime, so a request
runs at most once, however often and to whichever gateways its caller sends it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


class ClaimStatus(StrEnum):
    """Result of an attempt to claim a key."""

    GRANTED = "granted"
    # Another attempt claimed the key; it may have run.
    HELD = "held"
    # The key was claimed for another request body.
    REUSED = "reused"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class Claim:
    """One attempt's claim on a key. ``created`` is in wall-clock seconds."""

    key: bytes
    fingerprint: bytes
    # New for each claim, also when one attempt reaches an agent twice.
    claim_id: str
    # Address of the agent that made the claim, which may be asked for its response.
    holder: str
    created: float


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """The status and, unless the partition is full, the current claim on the key."""

    status: ClaimStatus
    current: Claim | None = None
    # Version of the partition that shows the claim; 0 while it is unknown.
    version: int = 0


def merge_claims(
    stored: Sequence[Claim],
    requested: Sequence[Claim],
    now: float,
    lifetime: float,
    capacity: int,
) -> tuple[tuple[Claim, ...], list[ClaimOutcome]]:
    """Return the updated partition and an outcome for each of ``requested``.

    Claims older than ``lifetime`` seconds are dropped. A requested claim that is
    already stored is granted again: its earlier write took effect although the response
    was lost.
    """
    by_key = {c.key: c for c in stored if now - c.created < lifetime}
    outcomes = [_merge_claim(by_key, claim, capacity) for claim in requested]
    return tuple(by_key.values()), outcomes


def _merge_claim(
    by_key: dict[bytes, Claim], claim: Claim, capacity: int
) -> ClaimOutcome:
    found = by_key.get(claim.key)
    if found is None:
        if len(by_key) >= capacity:
            return ClaimOutcome(ClaimStatus.FULL)
        by_key[claim.key] = claim
        return ClaimOutcome(ClaimStatus.GRANTED, claim)
    if found.claim_id == claim.claim_id:
        return ClaimOutcome(ClaimStatus.GRANTED, found)
    if found.fingerprint != claim.fingerprint:
        return ClaimOutcome(ClaimStatus.REUSED, found)
    return ClaimOutcome(ClaimStatus.HELD, found)
