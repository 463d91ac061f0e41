"""Tracks the blocks that are assumed to be in the engine's prefix cache.

Engines report cache events late and with gaps, so the set is only an assumption. If an
assumed block is not there, it has to be recomputed; the reverse costs a fetch; neither
changes a response, because the engine itself decides what it reuses. An entry ends with
an event, with the engine's own count of cached tokens, or by age; one that is wrong
because an event was lost costs one request.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# At 2,000 tokens a block this covers far more than an accelerator's memory holds.
MAX_KEYS = 65_536
# Longest life of an entry that nothing confirms. The engine's count of cached tokens
# corrects wrong entries, so this is only the last bound. With five minutes, blocks that
# were still resident were fetched again, which tripled the median time to first token
# of returning prompts (docs/CONTEXT.md).
RESIDENT_TTL_SECONDS = 6 * 3600.0


class ResidentKeys:
    """Keys assumed resident, least recently confirmed first."""

    __slots__ = ("_confirmed_at",)

    def __init__(self) -> None:
        self._confirmed_at: OrderedDict[bytes, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._confirmed_at)

    def confirm(self, now: float, keys: Sequence[bytes]) -> None:
        """Assume that ``keys`` are resident as of ``now`` (seconds)."""
        for key in keys:
            self._confirmed_at[key] = now
            self._confirmed_at.move_to_end(key)
        while len(self._confirmed_at) > MAX_KEYS:
            self._confirmed_at.popitem(last=False)

    def remove(self, key: bytes) -> None:
        """Remove a block that the engine has evicted from its cache."""
        self._confirmed_at.pop(key, None)

    def record_miss(self, key: bytes) -> None:
        """Record that the engine computed a block that was assumed resident.

        An event was lost. Engines evict the least recently used blocks first, so blocks
        that were confirmed no later than this one are gone as well.
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
        """Remove all keys: the engine restarted, or its events have a gap."""
        self._confirmed_at.clear()

    def count_prefix(self, now: float, keys: Sequence[bytes]) -> int:
        """Return how many leading ``keys`` are assumed resident.

        A prefix cache cannot use the blocks after the first missing one.
        """
        for position, key in enumerate(keys):
            confirmed_at = self._confirmed_at.get(key)
            if confirmed_at is None or now - confirmed_at > RESIDENT_TTL_SECONDS:
                return position
        return len(keys)
