"""The order in which targets load newly named weights, the same at every process.

Load pattern: all engines of a service have to load within seconds, a third of them at a
time, and each first lets its running streams end. A long stream holds a place to load
for its whole length. Everybody computes the same order, so gateways can keep long
answers away from the engines whose turn comes next.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..membership.load_slots import count_slots
from ..routing.rendezvous import compute_weight

if TYPE_CHECKING:
    from collections.abc import Mapping

# Targets of a service for each one that may load at the same time: a load takes longer
# while more than about a third of the engines do so.
TARGETS_PER_CONCURRENT_LOAD = 3
# Turns ahead of the one that loads whose targets get fewer long answers.
WAVES_AHEAD = 1
# Seconds from the start of one turn to that of the next: a drain of two seconds and a
# load of 1.4 s, of which the next drain overlaps the load. Sooner, two thirds of the
# engines take no long answers at once; later, more answers are made on older weights.
WAVE_SECONDS = 2.6


def count_concurrent_loads(targets: int) -> int:
    """Return how many of ``targets`` may load at the same time."""
    return count_slots(max(1, targets // TARGETS_PER_CONCURRENT_LOAD), max(2, targets))


def list_pending(versions: Mapping[str, int], newest: int) -> list[str]:
    """Return the targets that have still to load ``newest``, the next one first.

    ``versions`` holds each target's version. The oldest come first: the time allowed
    runs out for them before it does for those that have a version in between.
    """
    behind = [name for name, version in versions.items() if version < newest]
    key = str(newest).encode()
    return sorted(behind, key=lambda name: (versions[name], compute_weight(key, name)))


def find_wave_delay(versions: Mapping[str, int], newest: int, target: str) -> float:
    """Return the seconds from the naming of ``newest`` to the turn of ``target``.

    Time alone decides: a target that nobody orders holds up none behind it.
    """
    order = list_pending(versions, newest)
    if target not in order:
        return 0.0
    return order.index(target) // count_concurrent_loads(len(versions)) * WAVE_SECONDS


def list_loading_soon(versions: Mapping[str, int], newest: int) -> frozenset[str]:
    """Return the targets whose turn has come or comes next."""
    count = count_concurrent_loads(len(versions)) * (1 + WAVES_AHEAD)
    return frozenset(list_pending(versions, newest)[:count])
