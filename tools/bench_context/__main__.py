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

from .simulation import Policy, Simulation
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
# The first policies are the baselines; the two presets start at this index.
BASELINES = 2
FIRST_PRESET = 4
# Link budget with which the transfer of a block takes a quarter longer than its
# prefill, so that the two presets decide differently.
NARROW_LINK_BUDGET = 180e6
TABLE_HEADER = (
    "| policy | recomputed | p50 s | p95 s | returning p95 s | fetched GB "
    "| exported GB | link mean | link peak | late | lists |"
)


def main(seed: int = 1, days: float = 3.0) -> None:
    """Run both traces, of ``days`` each, with every policy."""
    conversations = make_conversations(seed, int(500 * days), days)
    run_site("Fosse, returning conversations", FOSSE, conversations, seed, days)
    catalogues = make_catalogues(seed, int(3000 * days), days)
    run_site("Kaaspost, recurring catalogues", KAASPOST, catalogues, seed, days)


def run_site(
    title: str, site: Site, trace: list[Prompt], seed: int, days: float
) -> None:
    """Print the table of one site, and its comparison with the baselines."""
    print(f"\n{title}: {len(trace)} prompts, seed {seed}, {days:g} days")
    print(f"Least possible recomputed share: {measure_unseen(trace):.3f}")
    print(f"\n{TABLE_HEADER}")
    print("|---" * TABLE_HEADER.count(" | ") + "|---|")
    simulations = []
    for policy in POLICIES:
        narrow = policy.name.endswith("narrow link")
        chosen = replace(site, link_budget=NARROW_LINK_BUDGET) if narrow else site
        simulation = Simulation(chosen, policy, seed)
        simulation.run(trace)
        simulations.append(simulation)
        print(describe(simulation, days), flush=True)
    print()
    for simulation in simulations[FIRST_PRESET : FIRST_PRESET + 2]:
        for baseline in simulations[:BASELINES]:
            print_comparison(simulation, baseline)


def print_comparison(simulation: Simulation, baseline: Simulation) -> None:
    """Print by which factors a preset is better than a baseline."""
    share = read_recomputed(baseline) / read_recomputed(simulation)
    early = read_percentile(baseline, 95) / read_percentile(simulation, 95)
    compared = (baseline, simulation)
    late, soon = (s.returning.get_value_at_percentile(95) for s in compared)
    print(
        f"{simulation.policy.name} against {baseline.policy.name}: recomputed", end=""
    )
    print(f" share {share:.2f} times less, p95 first token {early:.2f} times", end="")
    print(f" earlier ({late / soon:.2f} times for returning prompts)")


def describe(simulation: Simulation, days: float) -> str:
    """Return one row of the table."""
    site = simulation.site
    total = simulation.fetched_bytes + simulation.exported_bytes
    mean = total / (site.link_budget * days * DAY * site.engines)
    # In one second the budget allows its rate and the accumulated burst, or a single
    # block, which cannot be split.
    burst = max(site.link_budget * BURST_SECONDS, site.block_bytes)
    allowed = site.link_budget + burst
    peak = max(engine.find_peak() for engine in simulation.engines) / allowed
    cells = [
        simulation.policy.name,
        f"{read_recomputed(simulation):.3f}",
        f"{read_percentile(simulation, 50):.2f}",
        f"{read_percentile(simulation, 95):.2f}",
        f"{simulation.returning.get_value_at_percentile(95) / 1000:.2f}",
        f"{simulation.fetched_bytes / 1e9:.0f}",
        f"{simulation.exported_bytes / 1e9:.0f}",
        f"{mean:.2%}",
        f"{peak:.0%}",
        str(simulation.late_fetches),
        str(sum(store.lists for store in simulation.stores.values())),
    ]
    return f"| {' | '.join(cells)} |"


def read_recomputed(simulation: Simulation) -> float:
    """Return the share of prompt tokens that engines recomputed."""
    return simulation.recomputed_tokens / simulation.prompt_tokens


def read_percentile(simulation: Simulation, percentile: float) -> float:
    """Return a percentile of the seconds to the first token."""
    return float(simulation.first_token.get_value_at_percentile(percentile)) / 1000


if __name__ == "__main__":
    fire.Fire(main)
