"""Chooses which computed blocks are exported to store VMs, and in which order.

Load pattern: far more blocks are computed than are ever reused. Exporting all of them
would spend the link and the store's space on prompts that nobody repeats; blocks that
are reused would wait behind them or be evicted for them.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass
from enum import IntEnum

# Leading blocks of a prompt; without them the later blocks cannot be used.
OPENING_BLOCKS = 2
# Keys whose occurrences are counted; the least recent are dropped.
MAX_TRACKED_KEYS = 65_536


class ReuseLikelihood(IntEnum):
    """How likely a block is to be reused, the most likely first."""

    SHARED = 0
    RETURNED = 1
    OPENING = 2
    NEW = 3


@dataclass(frozen=True, slots=True)
class ExportItem:
    """One block that may be exported."""

    request_id: str
    workspace: str
    salt: str
    version: str
    key: bytes
    depth: int


class ReuseTracker:
    """Counts the prompts in which each block occurs, and tracks its successors."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: OrderedDict[bytes, tuple[int, bytes, bool]] = OrderedDict()

    def record_prompt(self, keys: tuple[bytes, ...]) -> list[ReuseLikelihood]:
        """Count one prompt; return the reuse likelihood of each of its blocks."""
        return [
            self._record(key, depth, keys[depth + 1] if depth + 1 < len(keys) else b"")
            for depth, key in enumerate(keys)
        ]

    def _record(self, key: bytes, depth: int, successor: bytes) -> ReuseLikelihood:
        count, previous_successor, forked = self._entries.get(key, (0, b"", False))
        # A block with two different successors belongs to two prompts.
        forked = forked or bool(
            previous_successor and successor and previous_successor != successor
        )
        self._entries[key] = (count + 1, successor or previous_successor, forked)
        self._entries.move_to_end(key)
        if len(self._entries) > MAX_TRACKED_KEYS:
            self._entries.popitem(last=False)
        if forked:
            return ReuseLikelihood.SHARED
        if count:
            return ReuseLikelihood.RETURNED
        return (
            ReuseLikelihood.OPENING if depth < OPENING_BLOCKS else ReuseLikelihood.NEW
        )


class ExportQueue:
    """Blocks waiting for the link by likelihood of reuse; drops the least likely."""

    __slots__ = ("_heap", "_limit", "_queued", "_sequence")

    def __init__(self, limit: int) -> None:
        self._heap: list[tuple[int, int, ExportItem]] = []
        self._queued: set[bytes] = set()
        self._limit = limit
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, likelihood: ReuseLikelihood, item: ExportItem) -> ExportItem | None:
        """Queue a block once; return the one dropped for it, if any."""
        if item.key in self._queued:
            return None
        self._sequence += 1
        heapq.heappush(self._heap, (likelihood, self._sequence, item))
        self._queued.add(item.key)
        if len(self._heap) <= self._limit:
            return None
        worst = max(self._heap)
        self._heap.remove(worst)
        heapq.heapify(self._heap)
        self._queued.discard(worst[2].key)
        return worst[2]

    def pop(self) -> tuple[ReuseLikelihood, ExportItem] | None:
        """Remove and return the block that is most likely to be reused."""
        if not self._heap:
            return None
        likelihood, _, item = heapq.heappop(self._heap)
        self._queued.discard(item.key)
        return ReuseLikelihood(likelihood), item
