"""Runs all measurements and writes the slopes: ``python -m capacity``."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

import fire

from . import measurements

if TYPE_CHECKING:
    from .fit import Fit

OUTPUT = Path(__file__).resolve().parent.parent.parent / "docs" / "capacity.json"
SECTIONS = {
    "gateway_channels": measurements.measure_gateway_channels,
    "agent_connections": measurements.measure_agent_connections,
    "blocks": measurements.measure_blocks,
    "workspaces": measurements.measure_workspaces,
    "propagation": measurements.measure_propagation,
    "vm_list": measurements.measure_vm_list,
    "requests": measurements.measure_requests,
    "claims": measurements.measure_claims,
}


def main(only: str = "", output: str = str(OUTPUT)) -> None:
    """Measure all sections, or the one named by ``only``."""
    path = Path(output)
    known = json.loads(path.read_text()) if path.exists() else {}
    for name, measure in SECTIONS.items():
        if only in ("", name):
            fits = measure()
            known[name] = [_to_json(fit) for fit in fits]
            for fit in fits:
                _print_fit(fit)
    path.write_text(json.dumps(known, indent=2) + "\n")


def _to_json(fit: Fit) -> dict[str, object]:
    return {
        "name": fit.name,
        "unit": fit.unit,
        "points": fit.points,
        "slope": fit.slope,
        "error": fit.error,
        "intercept": fit.intercept,
    }


def _print_fit(fit: Fit) -> None:
    print(f"{fit.name}: {fit.slope:.4g} ± {fit.error:.2g} {fit.unit} each,", end=" ")
    print(f"{fit.intercept:.4g} {fit.unit} at zero; points {fit.points}", flush=True)


if __name__ == "__main__":
    fire.Fire(main)
