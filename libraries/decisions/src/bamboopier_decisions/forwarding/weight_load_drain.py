"""Decides when a target that is to load new weights is ordered to do so.

Load pattern: engines that send long streams load new weights in turn. On an order the
engine lets running requests end first and accepts no others meanwhile. Ordered while it
runs two dozen streams, an engine is out of service for 2.6 to 4.5 s, of which the load
itself takes 1.4 s. The target is therefore first sent requests with short answers only:
it goes on working, and hardly any request is left to wait for when the order is sent.
"""

from __future__ import annotations

# Seconds until every gateway has received that a target accepts short answers only, and
# what had been sent before has arrived.
PROPAGATION_SECONDS = 0.15
# Maximum seconds for which a target is drained. Half of the long streams end within 2.2
# s, nearly all within five; an order sent before that would wait for them as well, and
# would keep short answers from the target meanwhile.
MAX_DRAIN_SECONDS = 5.0


class WeightLoadDrain:
    """The drain of one target before it is ordered to load weights."""

    __slots__ = ("_awaited", "_started_at", "is_complete")

    def __init__(self, now: float) -> None:
        self._started_at = now
        # Ids of the requests that the order would have to wait for; None until known.
        self._awaited: frozenset[str] | None = None
        # The order may be sent.
        self.is_complete = False

    def find_age(self, now: float) -> float:
        """Return the seconds since the drain started."""
        return now - self._started_at

    def record_running(self, now: float, runs: frozenset[str]) -> None:
        """Record the ids of the requests that run at the target now.

        Requests that started after the gateways were informed are short, and not waited
        for.
        """
        age = self.find_age(now)
        if age < PROPAGATION_SECONDS:
            return
        self._awaited = runs if self._awaited is None else self._awaited & runs
        self.is_complete = (
            self.is_complete or not self._awaited or age >= MAX_DRAIN_SECONDS
        )
