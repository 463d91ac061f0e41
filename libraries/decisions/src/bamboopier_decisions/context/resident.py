"""What is believed to be in the engine's prefix cache.

Engines report cache events late and with gaps, so this is a belief. Believing that a
block is there when it is not costs its recomputation, the reverse costs a fetch;
neither changes an answer, because the engine itself decides what it reuses. The belief
ends with an event, with the engine's own count of cached tokens, or by age.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# At 2,000 tokens a block this covers far more than an accelerator's memory holds.
MAX_KEYS = 65_536
# Longest life of a belief that nothing has confirmed: engines report evictions within
# seconds, so one that has heard nothing for five minutes has probably missed an event.
BELIEF_SECONDS = 300.0


class ResidentKeys:
    """Keys believed resident, least recently confirmed first."""

    __slots__ = ("_confirmed",)

    def __init__(self) -> None:
        self._confirmed: OrderedDict[bytes, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._confirmed)

    def confirm(self, now: float, keys: Sequence[bytes]) -> None:
        """Believe that ``keys`` are resident as of ``now`` (seconds)."""
        for key in keys:
            self._confirmed[key] = now
            self._confirmed.move_to_end(key)
        while len(self._confirmed) > MAX_KEYS:
            self._confirmed.popitem(last=False)

    def forget(self, key: bytes) -> None:
        """The engine says that a block left its cache."""
        self._confirmed.pop(key, None)

    def clear(self) -> None:
        """The engine started anew, or its events have a gap."""
        self._confirmed.clear()

    def count_prefix(self, now: float, keys: Sequence[bytes]) -> int:
        """Return how many leading ``keys`` are believed resident.

        Blocks behind the first missing one are no use to a prefix cache.
        """
        for position, key in enumerate(keys):
            confirmed = self._confirmed.get(key)
            if confirmed is None or now - confirmed > BELIEF_SECONDS:
                return position
        return len(keys)
