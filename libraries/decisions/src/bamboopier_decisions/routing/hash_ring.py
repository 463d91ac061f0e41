"""Consistent hashing: every gateway computes the same owners without a message.

Load pattern: prompts that come back to a fleet whose members change. Without it a
directory would have to follow millions of prompts, or a change of membership would
move them all. A removed target moves only its own share, and the share goes back when
it returns. Rendezvous hashing does the same but weighs every target for every request;
the ring is sorted once per change of the fleet and searched by halving.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_left
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

# Points a target has on the ring. Its share then strays by about a fifth (one over the
# root of the number), which the load bound of the choice evens out.
POINTS_PER_TARGET = 32
_POINT_BYTES = 8
_POINTS_PER_DIGEST = 8
_INDEX_BITS = 20


def compute_points(name: str) -> tuple[int, ...]:
    """Return the points of ``name``."""
    points: list[int] = []
    for number in range(POINTS_PER_TARGET // _POINTS_PER_DIGEST):
        digest = hashlib.blake2b(f"{number}:{name}".encode()).digest()
        for start in range(0, len(digest), _POINT_BYTES):
            points.append(int.from_bytes(digest[start : start + _POINT_BYTES], "big"))
    return tuple(points)


class HashRing:
    """Orders targets, known by index, for any key."""

    __slots__ = ("_ring",)

    def __init__(self, points: Sequence[tuple[int, ...]]) -> None:
        """Take the points of each target in the order of their indexes."""
        # The index rides in the low bits: plain integers sort several times faster
        # than pairs.
        self._ring = sorted(
            (point << _INDEX_BITS) | index
            for index, own in enumerate(points)
            for point in own
        )

    def walk(self, key: bytes) -> Iterator[int]:
        """Yield the indexes that follow ``key``, first owner first, with repeats."""
        ring = self._ring
        digest = hashlib.blake2b(key, digest_size=_POINT_BYTES).digest()
        start = bisect_left(ring, int.from_bytes(digest, "big") << _INDEX_BITS)
        mask = (1 << _INDEX_BITS) - 1
        for position in range(start, start + len(ring)):
            yield ring[position % len(ring)] & mask
