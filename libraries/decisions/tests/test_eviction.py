"""A workspace at or below its share loses nothing to another."""

from __future__ import annotations

import random
import unittest

from bamboopier_decisions.context.block_name import BlockName
from bamboopier_decisions.context.eviction import choose_evictions

TAGS = [f"{number:016x}" for number in range(8)]


def build_names(tag: str, prompts: int, depth: int = 4) -> list[str]:
    """Return block names of ``prompts`` prompts, written one after the other."""
    return [
        str(BlockName(tag, level, bytes([prompt, level]) * 16))
        for prompt in range(prompts)
        for level in range(depth)
    ]


class EvictionTests(unittest.TestCase):
    def test_no_workspace_falls_below_its_share_for_another(self) -> None:
        # Random usage, weights and writers. A block is evicted only from a workspace
        # that holds at least its weighted share of the full store.
        for seed in range(200):
            rng = random.Random(seed)
            tags = rng.sample(TAGS, rng.randint(1, 8))
            weights = {tag: rng.choice([0.5, 1.0, 4.0]) for tag in tags}
            names = [n for tag in tags for n in build_names(tag, rng.randint(1, 30))]
            writer = rng.choice(TAGS)
            weights.setdefault(writer, 1.0)
            victims = choose_evictions(names, weights, writer, 16)
            total = sum(weights.values())
            for tag in tags:
                held = sum(name.startswith(tag) for name in names)
                lost = sum(name.startswith(tag) for name in victims)
                share = len(names) * weights[tag] / total
                if lost and tag != writer:
                    self.assertGreaterEqual(held - lost + 1, share, (seed, tag))

    def test_the_workspace_that_fills_the_store_is_evicted(self) -> None:
        names = build_names(TAGS[0], 1) + build_names(TAGS[1], 50)
        weights = {TAGS[0]: 1.0, TAGS[1]: 1.0}
        for writer in TAGS[:2]:
            victims = choose_evictions(names, weights, writer, 16)
            self.assertEqual(len(victims), 16)
            self.assertTrue(all(name.startswith(TAGS[1]) for name in victims))

    def test_the_oldest_prompts_lose_their_last_blocks_first(self) -> None:
        names = build_names(TAGS[0], 8)
        victims = choose_evictions(names, {TAGS[0]: 1.0}, TAGS[0], 3)
        self.assertEqual(victims, [names[3], names[7], names[2]])

    def test_foreign_names_and_unknown_workspaces_go_first(self) -> None:
        names = [*build_names(TAGS[0], 3), *build_names(TAGS[1], 2), "junk"]
        victims = choose_evictions(names, {TAGS[0]: 1.0}, TAGS[0], 2)
        self.assertEqual(victims[0], "junk")
        self.assertTrue(victims[1].startswith(TAGS[1]))
