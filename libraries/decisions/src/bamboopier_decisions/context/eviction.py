"""Chooses the blocks to evict from a full store VM, identically on every agent.

Load pattern: many agents fill the same store VM, and one workspace writes a hundred
times as much as the others. Oldest-first eviction would remove the blocks of all other
workspaces, whose returning prompts are then recomputed. Instead, blocks are evicted
from the workspace that holds the most for its weight (weighted max-min fairness), so a
workspace at or below its share loses nothing to another. Two agents that evict at once
free a few blocks too many; since readers verify blocks, that costs a recomputation at
most.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from .block_name import BlockName, parse_block_name

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# Weight of a tag that the configuration does not name: a removed workspace, or one
# newer than this agent's generation. With a tenth of a share the blocks of removed
# workspaces are evicted first and a new workspace loses little in its first seconds.
UNKNOWN_TAG_WEIGHT = 0.1
# Share of a workspace's blocks, the oldest, that may be evicted, deepest first: a
# prompt without its first block is lost completely, one without its last loses a block.
EVICTABLE_SHARE = 0.25


def choose_evictions(
    names: Iterable[str], weights: Mapping[str, float], writer: str, count: int
) -> list[str]:
    """Return up to ``count`` names to delete so that ``writer`` can add a block.

    ``names`` is the store VM's list, oldest first; ``weights`` has the share of each
    workspace tag; ``writer`` is the tag that needs the space.
    """
    by_tag, foreign = _group_by_tag(names)
    victims = foreign[:count]
    queues = {tag: _order_for_eviction(blocks) for tag, blocks in by_tag.items()}
    held = {tag: len(blocks) for tag, blocks in queues.items()}
    held.setdefault(writer, 0)
    heap = [(-_compute_usage(held[tag], weights, tag), tag) for tag in held]
    heapq.heapify(heap)
    while len(victims) < count:
        # The writer refills each freed place, which counts towards its usage at once:
        # it must not evict the blocks of all others with one list.
        held[writer] += 1
        heapq.heappush(heap, (-_compute_usage(held[writer], weights, writer), writer))
        tag = _pop_largest(heap, held, weights)
        if not queues.get(tag):
            break
        victims.append(str(queues[tag].pop()))
        held[tag] -= 1
        heapq.heappush(heap, (-_compute_usage(held[tag], weights, tag), tag))
    return victims


def _pop_largest(
    heap: list[tuple[float, str]], held: dict[str, int], weights: Mapping[str, float]
) -> str:
    """Return the tag that holds the most for its weight, skipping outdated entries."""
    while True:
        usage, tag = heapq.heappop(heap)
        if -usage == _compute_usage(held[tag], weights, tag):
            return tag


def _group_by_tag(names: Iterable[str]) -> tuple[dict[str, list[BlockName]], list[str]]:
    by_tag: dict[str, list[BlockName]] = {}
    foreign: list[str] = []
    for text in names:
        name = parse_block_name(text)
        if name is None or str(name) != text:
            foreign.append(text)
        else:
            by_tag.setdefault(name.tag, []).append(name)
    return by_tag, foreign


def _order_for_eviction(blocks: list[BlockName]) -> list[BlockName]:
    """Return one workspace's blocks, the first to evict last."""
    old = max(1, int(len(blocks) * EVICTABLE_SHARE))
    oldest = blocks[:old]
    # Among equal depths the oldest comes last, and so is evicted first.
    oldest.reverse()
    oldest.sort(key=lambda name: name.depth)
    return [*reversed(blocks[old:]), *oldest]


def _compute_usage(held: int, weights: Mapping[str, float], tag: str) -> float:
    return held / weights.get(tag, UNKNOWN_TAG_WEIGHT)
