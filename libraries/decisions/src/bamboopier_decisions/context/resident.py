"""What is believed to be in the engine's prefix cache.

Engines report cache events late and with gaps, so this is a belief. Believing that a
block is there when it is not costs its recomputation, the reverse costs a fetch;
neither changes an answer, because the engine itself decides what it reuses. The belief
ends with an event, with the engine's own count of cached tokens, or by age; one that
is wrong because an event was lost costs one request.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# At 2,000 tokens a block this covers far more than an accelerator's memory holds.
MAX_KEYS = 65_536
# Longest life of a belief that nothing has confirmed. The engine's count of cached
# tokens corrects wrong ones, so this is only the last bound. Five minutes were tried:
# blocks that were still resident were then fetched again, which tripled the median
# first token of returning prompts (docs/CONTEXT.md).
RESIDENT_TTL_SECONDS = 6 * 3600.0


class ResidentKeys:
    """Keys believed resident, least recently confirmed first."""

    __slots__ = ("_confirmed_at",)

    def __init__(self) -> None:
        self._confirmed_at: OrderedDict[bytes, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._confirmed_at)

    def confirm(self, now: float, keys: Sequence[bytes]) -> None:
        """Believe that ``keys`` are resident as of ``now`` (seconds)."""
        for key in keys:
            self._confirmed_at[key] = now
            self._confirmed_at.move_to_end(key)
        while len(self._confirmed_at) > MAX_KEYS:
            self._confirmed_at.popitem(last=False)

    def remove(self, key: bytes) -> None:
        """The engine says that a block left its cache."""
        self._confirmed_at.pop(key, None)

    def record_miss(self, key: bytes) -> None:
        """The engine had to compute a block that was believed resident.

        An event was lost. Engines drop the least recently used blocks first, so what
        was confirmed no later than this one is gone as well.
        """
        confirmed_at = self._confirmed_at.get(key)
        if confirmed_at is None:
            return
        while (
            self._confirmed_at
            and next(iter(self._confirmed_at.values())) <= confirmed_at
        ):
            self._confirmed_at.popitem(last=False)

    def clear(self) -> None:
        """The engine started anew, or its events have a gap."""
        self._confirmed_at.clear()

    def count_prefix(self, now: float, keys: Sequence[bytes]) -> int:
        """Return how many leading ``keys`` are believed resident.

        Blocks behind the first missing one are no use to a prefix cache.
        """
        for position, key in enumerate(keys):
            confirmed_at = self._confirmed_at.get(key)
            if confirmed_at is None or now - confirmed_at > RESIDENT_TTL_SECONDS:
                return position
        return len(keys)
