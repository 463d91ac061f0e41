"""Limits how many targets of a service load weights at once.

Load pattern: a new weight version for all targets of a service. Loading on all of them
at once overloads the weight store, so that each load takes far longer, and leaves no
target to serve meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from .lease import Lease


def count_slots(loads_at_once: int, serving_targets: int) -> int:
    """Return how many slots may be in use so that one target keeps serving.

    ``serving_targets`` counts those that are neither leaving nor drained.
    """
    return max(1, min(loads_at_once, serving_targets - 1))


def choose_slot(
    now: float, slots: Mapping[int, Lease], order: Sequence[int]
) -> int | None:
    """Return the first slot in ``order`` that may be acquired now, or None."""
    return next((n for n in order if slots[n].find_wait(now) == 0.0), None)
