"""The order in which targets load a published weight version.

All processes compute the same order, so gateways can route long responses away from the
engines of the next wave.

Load pattern: all engines of a service have to load within seconds, a third of them at a
time, and each first lets its running streams end. A long stream occupies one of the
concurrent loads for its whole length.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..membership.load_slots import count_slots
from ..routing.rendezvous import compute_weight

if TYPE_CHECKING:
    from collections.abc import Mapping

# Targets of a service for each one that may load concurrently: a load takes longer
# while more than about a third of the engines do so.
TARGETS_PER_CONCURRENT_LOAD = 3
# Waves after the one that loads whose targets get fewer long responses.
WAVES_AHEAD = 1
# Seconds from the start of one wave to that of the next: a drain of two seconds and a
# load of 1.4 s, of which the next drain overlaps the load. With a shorter interval, two
# thirds of the engines accept no long responses at the same time; with a longer one,
# more responses are made with older weights.
WAVE_SECONDS = 2.6


def count_concurrent_loads(targets: int) -> int:
    """Return how many of ``targets`` may load at the same time."""
    return count_slots(max(1, targets // TARGETS_PER_CONCURRENT_LOAD), max(2, targets))


def list_pending(versions: Mapping[str, int], newest: int) -> list[str]:
    """Return the targets that have still to load ``newest``, the next one first.

    ``versions`` holds each target's version. The oldest come first: their grace period
    ends before that of targets with a version in between.
    """
    behind = [name for name, version in versions.items() if version < newest]
    key = str(newest).encode()
    return sorted(behind, key=lambda name: (versions[name], compute_weight(key, name)))


def find_wave_delay(versions: Mapping[str, int], newest: int, target: str) -> float:
    """Return the seconds from publication of ``newest`` to the wave of ``target``.

    Only time counts: a target that receives no order delays none of those after it.
    """
    order = list_pending(versions, newest)
    if target not in order:
        return 0.0
    return order.index(target) // count_concurrent_loads(len(versions)) * WAVE_SECONDS


def list_loading_soon(versions: Mapping[str, int], newest: int) -> frozenset[str]:
    """Return the targets of the current and the next wave."""
    count = count_concurrent_loads(len(versions)) * (1 + WAVES_AHEAD)
    return frozenset(list_pending(versions, newest)[:count])
