"""Prints the table of docs/CONTEXT.md."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import fire

from bamboopier_decisions.context.fetch_choice import (
    FIRST_TOKEN_WEIGHTS,
    RECOMPUTE_WEIGHTS,
)
from bamboopier_decisions.context.link_budget import BURST_SECONDS

from .drive import Drive, Policy
from .traces import (
    DAY,
    FOSSE,
    KAASPOST,
    make_catalogues,
    make_conversations,
    measure_unseen,
)

if TYPE_CHECKING:
    from .traces import Prompt, Site

POLICIES = (
    Policy("round robin, no store", "round-robin"),
    Policy("least loaded, no store", "least-loaded"),
    Policy("least loaded, store", "least-loaded", FIRST_TOKEN_WEIGHTS),
    Policy("affinity, no store", "affinity"),
    Policy("first-token", "affinity", FIRST_TOKEN_WEIGHTS),
    Policy("recompute", "affinity", RECOMPUTE_WEIGHTS),
    Policy("first-token, narrow link", "affinity", FIRST_TOKEN_WEIGHTS),
    Policy("recompute, narrow link", "affinity", RECOMPUTE_WEIGHTS),
)
BASELINES = 2
OWN = 4
# Budget with which a block's transfer takes a quarter longer than its prefill: where
# the two presets part.
NARROW = 180e6
HEAD = (
    "| policy | recomputed | p50 s | p95 s | returning p95 s | fetched GB "
    "| exported GB | link mean | link peak | late | lists |"
)


def main(seed: int = 1, days: float = 3.0) -> None:
    """Run both traces under every policy; ``days`` is the length of each."""
    conversations = make_conversations(seed, int(500 * days), days)
    run_site("Fosse, returning conversations", FOSSE, conversations, seed, days)
    catalogues = make_catalogues(seed, int(3000 * days), days)
    run_site("Kaaspost, recurring catalogues", KAASPOST, catalogues, seed, days)


def run_site(
    title: str, site: Site, trace: list[Prompt], seed: int, days: float
) -> None:
    """Print one site's table and the factors against the baselines."""
    print(f"\n{title}: {len(trace)} prompts, seed {seed}, {days:g} days")
    print(f"Least possible recomputed share: {measure_unseen(trace):.3f}\n\n{HEAD}")
    print("|---" * HEAD.count(" | ") + "|---|")
    drives = []
    for policy in POLICIES:
        narrow = policy.name.endswith("narrow link")
        chosen = replace(site, link_budget=NARROW) if narrow else site
        drive = Drive(chosen, policy, seed)
        drive.run(trace)
        drives.append(drive)
        print(describe(drive, days), flush=True)
    print()
    for drive in drives[OWN : OWN + 2]:
        for baseline in drives[:BASELINES]:
            share = read_recomputed(baseline) / read_recomputed(drive)
            late = read_percentile(baseline, 95) / read_percentile(drive, 95)
            back = [d.returning.get_value_at_percentile(95) for d in (baseline, drive)]
            print(
                f"{drive.policy.name} against {baseline.policy.name}: recomputed share "
                f"{share:.2f} times less, p95 first token {late:.2f} times earlier "
                f"({back[0] / back[1]:.2f} times for returning prompts)"
            )


def describe(drive: Drive, days: float) -> str:
    """Return one row of the table."""
    site = drive.site
    total = drive.fetched_bytes + drive.exported_bytes
    mean = total / (site.link_budget * days * DAY * site.engines)
    # In a second the budget lets go its rate and what had gathered before, or one
    # block, which cannot be divided.
    burst = max(site.link_budget * BURST_SECONDS, site.block_bytes)
    allowed = site.link_budget + burst
    peak = max(engine.find_peak() for engine in drive.engines) / allowed
    cells = [
        drive.policy.name,
        f"{read_recomputed(drive):.3f}",
        f"{read_percentile(drive, 50):.2f}",
        f"{read_percentile(drive, 95):.2f}",
        f"{drive.returning.get_value_at_percentile(95) / 1000:.2f}",
        f"{drive.fetched_bytes / 1e9:.0f}",
        f"{drive.exported_bytes / 1e9:.0f}",
        f"{mean:.2%}",
        f"{peak:.0%}",
        str(drive.late_fetches),
        str(sum(store.lists for store in drive.stores.values())),
    ]
    return f"| {' | '.join(cells)} |"


def read_recomputed(drive: Drive) -> float:
    """Return the share of prompt tokens that engines computed."""
    return drive.recomputed_tokens / drive.prompt_tokens


def read_percentile(drive: Drive, percentile: float) -> float:
    """Return seconds to the first token."""
    return float(drive.first_token.get_value_at_percentile(percentile)) / 1000


if __name__ == "__main__":
    fire.Fire(main)
