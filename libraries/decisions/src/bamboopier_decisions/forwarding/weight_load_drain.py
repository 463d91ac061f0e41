"""When a target that is to load new weights gets its order.

Load pattern: engines that answer with long streams load new weights in turn. An order
lets what runs end first, and the engine takes nothing else meanwhile. Ordered in the
midst of two dozen streams, an engine is out of service for 2.6 to 4.5 s, of which the
load itself takes 1.4 s. So it first gets short answers only: it goes on working, and
the order then finds next to nothing to wait for.
"""

from __future__ import annotations

# Seconds until every gateway has heard that a target takes short answers only and what
# was on its way has arrived.
PROPAGATION_SECONDS = 0.15
# Seconds for which a target is drained at the most. Half of the long streams end within
# 2.2 s, nearly all in five; an order given before them would wait for them as well, and
# keep the target from short answers meanwhile.
MAX_DRAIN_SECONDS = 5.0


class WeightLoadDrain:
    """One target on its way to an order."""

    __slots__ = ("_awaited", "_started_at", "is_complete")

    def __init__(self, now: float) -> None:
        self._started_at = now
        # The runs that the order would have to wait for; None until they are known.
        self._awaited: frozenset[str] | None = None
        # The order may be given.
        self.is_complete = False

    def find_age(self, now: float) -> float:
        """Return the seconds since the drain began."""
        return now - self._started_at

    def record_running(self, now: float, runs: frozenset[str]) -> None:
        """Take the ids of the requests that run at the target now.

        What began after the gateways were told is short, and not waited for.
        """
        age = self.find_age(now)
        if age < PROPAGATION_SECONDS:
            return
        self._awaited = runs if self._awaited is None else self._awaited & runs
        self.is_complete = (
            self.is_complete or not self._awaited or age >= MAX_DRAIN_SECONDS
        )
