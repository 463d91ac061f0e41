"""Whether an agent lets new work through to its own target."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class UnavailableReason(StrEnum):
    """Why a target takes no new work."""

    SHUTTING_DOWN = "shutting-down"
    DRAINED = "drained"
    LEAVING = "leaving"
    LOADING = "loading"


@dataclass(frozen=True, slots=True)
class TargetAvailability:
    """What an agent knows that may keep new work from its target.

    The agent is the only way to its target, so a gateway that has not heard of a drain
    or sees an old VM list is stopped here.
    """

    shutting_down: bool = False
    drained: bool = False
    leaving: bool = False
    # Weights are being swapped.
    loading: bool = False

    def find_unavailable_reason(self) -> UnavailableReason | None:
        """Return the first reason against new work, or None."""
        reasons = (
            (self.shutting_down, UnavailableReason.SHUTTING_DOWN),
            (self.drained, UnavailableReason.DRAINED),
            (self.leaving, UnavailableReason.LEAVING),
            (self.loading, UnavailableReason.LOADING),
        )
        return next((reason for holds, reason in reasons if holds), None)
