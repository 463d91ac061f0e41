"""Rendezvous hashing: every process computes the same order without communication.

Load pattern: prompts that return to a fleet whose members change. Without it, a
directory would have to track millions of prompts, or a change of membership would move
all of them. If a target is removed, only its own share moves, and the share moves back
when the target returns.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def compute_weight(key: bytes, name: str) -> int:
    """Return the 64-bit weight of ``name`` for ``key``; the largest owns the key."""
    digest = hashlib.blake2b(name.encode(), key=key[:64], digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank(key: bytes, names: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` owners of ``key``, first owner first."""
    ordered = sorted(names, key=lambda name: (-compute_weight(key, name), name))
    return ordered[:count]
