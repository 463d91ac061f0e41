"""Whether an agent lets new work through to its own target."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Obstacle(StrEnum):
    """Why a target takes no new work."""

    SHUTTING_DOWN = "shutting-down"
    DRAINED = "drained"
    LEAVING = "leaving"
    LOADING = "loading"


@dataclass(frozen=True, slots=True)
class Standing:
    """What an agent knows that may keep new work from its target.

    The agent is the only way to its target, so a gateway that has not heard of a drain
    or sees an old VM list is stopped here.
    """

    shutting_down: bool = False
    drained: bool = False
    leaving: bool = False
    # Weights are being swapped.
    loading: bool = False

    def find_obstacle(self) -> Obstacle | None:
        """Return the first reason against new work, or None."""
        obstacles = (
            (self.shutting_down, Obstacle.SHUTTING_DOWN),
            (self.drained, Obstacle.DRAINED),
            (self.leaving, Obstacle.LEAVING),
            (self.loading, Obstacle.LOADING),
        )
        return next((obstacle for holds, obstacle in obstacles if holds), None)
