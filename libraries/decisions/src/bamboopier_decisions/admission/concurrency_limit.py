"""How many requests a target runs at once: small when fresh, grown by answers.

Load pattern: a target that just started (or went cold) while the whole fleet looks for
room. Without it every gateway sends its share at once and the fresh target falls over,
as the brief says. The limit lives beside the target, so any number of gateways respect
it together. Each answered request adds one while the limit is the bottleneck, which
doubles it once per service time as TCP's slow start does.
"""

from __future__ import annotations

FIRST_LIMIT = 2
# A failed request takes the limit down by this factor.
BACK_OFF = 0.5


class ConcurrencyLimit:
    """A limit between ``FIRST_LIMIT`` and ``maximum``."""

    __slots__ = ("_limit", "_maximum")

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self._limit = float(min(FIRST_LIMIT, maximum))

    @property
    def value(self) -> int:
        """Return how many requests may run at once."""
        return int(self._limit)

    def add_answer(self, running: int) -> None:
        """Grow after an answered request if the limit was in use."""
        if running >= self.value:
            self._limit = min(float(self._maximum), self._limit + 1)

    def add_failure(self) -> None:
        """Shrink after a request the target did not answer."""
        self._limit = max(1.0, self._limit * BACK_OFF)

    def reset(self) -> None:
        """Start over for a target that went cold."""
        self._limit = float(min(FIRST_LIMIT, self._maximum))
