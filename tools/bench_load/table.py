"""Runs every scenario with every policy and prints a table of the outcomes."""

from __future__ import annotations

import json
from dataclasses import asdict
from functools import partial
from pathlib import Path

import fire

from bamboopier_decisions.admission.controller import AdmissionController
from bamboopier_decisions.routing.router import Router

from .baselines import PlainRouter, UnboundedFifo
from .outcome import Outcome, evaluate
from .policy import Policy
from .scenarios import Scenario, list_scenarios
from .simulation import Simulation

MAX_RUNNING = 32
MAX_WAITING = 64
# Concurrent requests of a baseline, which is given the engine's best batch size.
BASELINE_RUNNING = 16

BAMBOOPIER = Policy(
    "bamboopier",
    lambda random: AdmissionController(MAX_RUNNING, MAX_WAITING, random),
    Router,
)
ROUND_ROBIN = Policy(
    "round robin",
    lambda _: UnboundedFifo(BASELINE_RUNNING),
    partial(PlainRouter, least_loaded=False),
)
LEAST_LOADED = Policy(
    "least loaded",
    lambda _: UnboundedFifo(BASELINE_RUNNING),
    partial(PlainRouter, least_loaded=True),
)
HEADINGS = (
    "| load pattern | policy | orders | in time | in time/s | first p50 | p95 | p99 "
    "| asks | refused | refusal p99 | no hint | least/most | falls |"
)


def simulate(policy: Policy, scenario: Scenario, seed: int = 1) -> Simulation:
    """Run a scenario until one second after its last deadline."""
    simulation = Simulation(
        policy, scenario.targets, seed=seed, shape=scenario.shape, cold=scenario.cold
    )
    simulation.submit(scenario.orders)
    scenario.prepare(simulation)
    simulation.run(max(order.deadline for order in scenario.orders) + 1.0)
    return simulation


def format_row(name: str, policy: str, outcome: Outcome) -> str:
    """Return one row of the table in Markdown."""
    cells = (
        name,
        policy,
        str(outcome.orders),
        f"{outcome.in_time / max(1, outcome.orders):.1%}",
        f"{outcome.per_second:.1f}",
        f"{outcome.first_p50:.2f}",
        f"{outcome.first_p95:.2f}",
        f"{outcome.first_p99:.2f}",
        str(outcome.asks),
        str(outcome.refused),
        f"{outcome.refusal_p99:.3f}",
        str(outcome.unhinted),
        f"{outcome.least}/{outcome.most}",
        str(outcome.falls),
    )
    return "| " + " | ".join(cells) + " |"


def main(only: str = "", output: str = "", ours: bool = False) -> None:
    """Print the table; ``only`` selects scenarios by a part of their name.

    ``output`` is a file for the rows as JSON; ``ours`` leaves out the baselines.
    """
    rows: list[dict[str, object]] = []
    print(HEADINGS)
    print("|" + "---|" * (HEADINGS.count("|") - 1))
    for policy in (BAMBOOPIER,) if ours else (BAMBOOPIER, ROUND_ROBIN, LEAST_LOADED):
        for scenario in list_scenarios():
            if only not in scenario.name:
                continue
            simulation = simulate(policy, scenario)
            outcome = evaluate(simulation, scenario, scenario.is_measured)
            print(format_row(scenario.name, policy.name, outcome), flush=True)
            row = {"scenario": scenario.name, "policy": policy.name}
            rows.append({**row, **asdict(outcome)})
    if output:
        Path(output).write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    fire.Fire(main)
