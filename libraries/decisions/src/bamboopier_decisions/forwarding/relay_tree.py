"""Decides which gateway gets what all of them need from which other gateway.

Load pattern: hundreds of gateways need the same updates several times a second, and the
source accepts calls of a few only. If all others polled these few, each would answer
dozens of them and send many times what another gateway sends for control. So those
that poll the few are polled in turn, and none answers more than a few others.

The gateways agree on an order of theirs, but for a moment after one was added or lost.
Each polls gateways before it in the order that it knows; two that know different
orders may poll each other for that time, and what they relay expires by its age.
"""

from __future__ import annotations

from itertools import count as count_from

# Gateways that poll one other, as long as those that poll the source have room for all.
MIN_CHILDREN = 4
# Most steps between a gateway and one that polls the source: each makes updates older.
MAX_STEPS = 2


def find_children(gateways: int, direct: int) -> int:
    """Return how many others may poll one gateway, so that all are within reach."""
    return next(
        children
        for children in count_from(MIN_CHILDREN)
        if direct * _count_tree(children) >= gateways
    )


def list_ancestors(rank: int, gateways: int, direct: int) -> list[int]:
    """Return which gateways this one may poll, the preferred one first, by rank.

    Later ones are polled while those before do not answer; the last polls the source.
    Empty for a gateway that polls the source itself.
    """
    children = find_children(gateways, direct)
    ancestors: list[int] = []
    while rank >= direct:
        rank = _find_parent(rank, direct, children)
        ancestors.append(rank)
    return ancestors


def has_children(rank: int, gateways: int, direct: int) -> bool:
    """Return whether other gateways prefer to poll this one."""
    return direct + rank * find_children(gateways, direct) < gateways


def _count_tree(children: int) -> int:
    return sum(children**step for step in range(MAX_STEPS + 1))


def _find_parent(rank: int, direct: int, children: int) -> int:
    return (rank - direct) // children
