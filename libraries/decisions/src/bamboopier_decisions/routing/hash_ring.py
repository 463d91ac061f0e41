"""Consistent hashing: every gateway computes the same owners without communication.

Load pattern: prompts that return to a fleet whose members change. Without consistent
hashing, a directory would have to track millions of prompts, or a change of membership
would move all of them. If a target is removed, only its own share moves, and the share
moves back when the target returns. Rendezvous hashing has the same property but
computes a weight of every target for every request; the ring is sorted once per change
of the fleet and searched by bisection.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_left
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

# Points of a target on the ring. Its share deviates by about a fifth (one over the
# square root of the number), which the choice by expected delay evens out.
POINTS_PER_TARGET = 32
_POINT_BYTES = 8
_POINTS_PER_DIGEST = 8
_INDEX_BITS = 20


def compute_points(name: str) -> tuple[int, ...]:
    """Return the ring points of the target ``name``."""
    points: list[int] = []
    for number in range(POINTS_PER_TARGET // _POINTS_PER_DIGEST):
        digest = hashlib.blake2b(f"{number}:{name}".encode()).digest()
        for start in range(0, len(digest), _POINT_BYTES):
            points.append(int.from_bytes(digest[start : start + _POINT_BYTES], "big"))
    return tuple(points)


class HashRing:
    """Orders targets, identified by their index, for any key."""

    __slots__ = ("_ring",)

    def __init__(self, points: Sequence[tuple[int, ...]]) -> None:
        """Create a ring from the points of each target, in the order of the indexes."""
        # The low bits hold the index: integers sort several times faster than pairs.
        self._ring = sorted(
            (point << _INDEX_BITS) | index
            for index, target_points in enumerate(points)
            for point in target_points
        )

    def walk(self, key: bytes) -> Iterator[int]:
        """Yield the indexes that follow ``key``, first owner first, with duplicates."""
        ring = self._ring
        digest = hashlib.blake2b(key, digest_size=_POINT_BYTES).digest()
        start = bisect_left(ring, int.from_bytes(digest, "big") << _INDEX_BITS)
        mask = (1 << _INDEX_BITS) - 1
        for position in range(start, start + len(ring)):
            yield ring[position % len(ring)] & mask
