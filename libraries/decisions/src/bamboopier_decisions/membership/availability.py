"""Decides whether an agent accepts new requests for its own target."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class UnavailableReason(StrEnum):
    """Why a target accepts no new requests."""

    SHUTTING_DOWN = "shutting-down"
    DRAINED = "drained"
    LEAVING = "leaving"
    LOADING = "loading"


@dataclass(frozen=True, slots=True)
class TargetAvailability:
    """The state of an agent that may exclude new requests from its target.

    All requests reach a target through its agent, so those of a gateway that has not
    received a drain or has an old VM list are stopped here.
    """

    shutting_down: bool = False
    drained: bool = False
    leaving: bool = False
    # Weights are being swapped.
    loading: bool = False

    def find_unavailable_reason(self) -> UnavailableReason | None:
        """Return the first reason against new requests, or None."""
        reasons = (
            (self.shutting_down, UnavailableReason.SHUTTING_DOWN),
            (self.drained, UnavailableReason.DRAINED),
            (self.leaving, UnavailableReason.LEAVING),
            (self.loading, UnavailableReason.LOADING),
        )
        return next((reason for holds, reason in reasons if holds), None)
