"""Seeded traces that model the returning prompts of two sites."""

from __future__ import annotations

import hashlib
import math
import random
from dataclasses import dataclass, replace

BLOCK_TOKENS = 2000
DAY = 86_400.0


@dataclass(frozen=True, slots=True)
class Prompt:
    """One request: its time, workspace, and the keys of its complete blocks."""

    at: float
    workspace: str
    keys: tuple[bytes, ...]
    # All tokens, including those after the last complete block.
    tokens: int
    # Whether an earlier prompt contained its first block.
    returning: bool = False


@dataclass(frozen=True, slots=True)
class Site:
    """The fleet that a trace is made for, and the assumed hardware."""

    engines: int
    data_centres: int
    store_vms: int
    # Blocks that an engine and a store VM can hold.
    engine_blocks: int
    store_blocks: int
    block_bytes: int
    # Tokens a second.
    prefill_rate: float
    # Bytes a second: the budget of each engine's link, and what the link can carry.
    link_budget: float
    link_speed: float


# Given sizes: 6 fault-desk engines in 4 data centres, and 9 assistant engines in 3.
# Assumed: 8-bit context of 28 and 18 KB a token, links of 10 Gbit/s with a budget of
# 40%, engines that cache 400,000 tokens.
FOSSE = Site(6, 4, 4, 200, 1200, 57_000_000, 8000.0, 500e6, 1.25e9)
KAASPOST = Site(9, 3, 3, 200, 1500, 37_000_000, 12_000.0, 500e6, 1.25e9)


def make_conversations(seed: int, count: int, days: float) -> list[Prompt]:
    """Return the trace of Fosse: conversations that grow and return after long gaps.

    Each starts with a history of 2 to 12 blocks and has 2 to 8 turns of up to one
    block. Gaps are 5 seconds to 2 days, with a uniform distribution of their logarithm.
    """
    rng = random.Random(seed)
    prompts: list[Prompt] = []
    for number in range(count):
        workspace = _draw_workspace(rng)
        tokens = rng.randint(2 * BLOCK_TOKENS, 12 * BLOCK_TOKENS)
        at = rng.uniform(0, days * DAY)
        for _ in range(rng.randint(2, 8)):
            keys = _make_keys(f"{workspace}/{number}", tokens // BLOCK_TOKENS)
            prompts.append(Prompt(at, workspace, keys, tokens))
            tokens += rng.randint(200, BLOCK_TOKENS)
            at += math.exp(rng.uniform(math.log(5), math.log(2 * DAY)))
    return _mark_returning([p for p in prompts if p.at < days * DAY])


def make_catalogues(seed: int, requests: int, days: float) -> list[Prompt]:
    """Return the trace of Kaaspost: questions about long, recurring catalogues.

    There are 120 catalogues of 10 to 50 blocks, requested by Zipf's law, each time with
    a different question. Once a day each catalogue changes from a random block on.
    """
    rng = random.Random(seed)
    sizes = [rng.randint(10, 50) for _ in range(120)]
    owners = [_draw_workspace(rng) for _ in sizes]
    popularity = [1 / (rank + 1) for rank in range(len(sizes))]
    prompts: list[Prompt] = []
    for _ in range(requests):
        at = rng.uniform(0, days * DAY)
        number = rng.choices(range(len(sizes)), popularity)[0]
        keys = _make_keys(f"{owners[number]}/{number}", sizes[number])
        day = int(at / DAY)
        if day:
            changed = random.Random(f"{seed}/{number}/{day}").randrange(sizes[number])
            tail = _make_keys(f"{number}/{day}", sizes[number] - changed)
            keys = keys[:changed] + tail
        question = rng.randint(50, BLOCK_TOKENS - 1)
        tokens = sizes[number] * BLOCK_TOKENS + question
        prompts.append(Prompt(at, owners[number], keys, tokens))
    return _mark_returning(prompts)


def measure_unseen(prompts: list[Prompt]) -> float:
    """Return the share of tokens that no earlier prompt contained, the minimum."""
    seen: set[bytes] = set()
    unseen = total = 0
    for prompt in prompts:
        new = sum(key not in seen for key in prompt.keys)
        rest = prompt.tokens - len(prompt.keys) * BLOCK_TOKENS
        unseen += new * BLOCK_TOKENS + rest
        total += prompt.tokens
        seen.update(prompt.keys)
    return unseen / total


def _mark_returning(prompts: list[Prompt]) -> list[Prompt]:
    seen: set[bytes] = set()
    marked: list[Prompt] = []
    for prompt in sorted(prompts, key=lambda p: p.at):
        marked.append(replace(prompt, returning=prompt.keys[0] in seen))
        seen.add(prompt.keys[0])
    return marked


def _draw_workspace(rng: random.Random) -> str:
    """Return one of ten workspaces, a few of which send most prompts."""
    weights = [1 / (rank + 1) for rank in range(10)]
    return f"workspace-{rng.choices(range(10), weights)[0]}"


def _make_keys(name: str, count: int) -> tuple[bytes, ...]:
    return tuple(
        hashlib.blake2b(f"{name}/{depth}".encode(), digest_size=32).digest()
        for depth in range(count)
    )
