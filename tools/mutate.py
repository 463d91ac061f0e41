"""Removes each safeguard, one at a time, and checks that its test turns red.

``make mutations`` prints a table and fails if any test stays green without its
safeguard. Each mutation is applied to a copy of the tree.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING

import fire
from mutations import MUTATIONS
from safeguards import (
    at_most_once,
    bounds,
    claims,
    configuration,
    crashing_parts,
    crashing_requests,
    drains_and_shutdown,
    endless_responses,
    outdated_configurations,
    publish_times_and_peers,
    retry_budgets,
    rollouts,
    software_versions,
    stalled_targets,
    store_calls,
    target_reports,
    unreadable_entries,
    weight_loads,
)

if TYPE_CHECKING:
    from mutations import Mutation

ROOT = Path(__file__).resolve().parent.parent
IGNORED_FOLDERS = shutil.ignore_patterns(".venv", ".git", ".mypy_cache", ".ruff_cache")
TEST_TIMEOUT_SECONDS = 300
WORKERS = 4
ALL_MUTATIONS = (
    *MUTATIONS,
    *publish_times_and_peers.MUTATIONS,
    *at_most_once.MUTATIONS,
    *bounds.MUTATIONS,
    *claims.MUTATIONS,
    *configuration.MUTATIONS,
    *weight_loads.MUTATIONS,
    *outdated_configurations.MUTATIONS,
    *drains_and_shutdown.MUTATIONS,
    *endless_responses.MUTATIONS,
    *stalled_targets.MUTATIONS,
    *target_reports.MUTATIONS,
    *crashing_requests.MUTATIONS,
    *crashing_parts.MUTATIONS,
    *retry_budgets.MUTATIONS,
    *rollouts.MUTATIONS,
    *store_calls.MUTATIONS,
    *software_versions.MUTATIONS,
    *unreadable_entries.MUTATIONS,
)


def run_mutation(mutation: Mutation) -> str:
    """Return ``red`` if the test fails only with the mutation, or else the problem."""
    with tempfile.TemporaryDirectory(prefix="mutation-") as folder:
        copy = Path(folder) / "tree"
        shutil.copytree(ROOT, copy, ignore=IGNORED_FOLDERS)
        path = copy / mutation.file
        source = path.read_text()
        if source.count(mutation.old) != 1:
            return (
                f"source text found {source.count(mutation.old)} times, expected once"
            )
        if not _passes(copy, mutation):
            return "red before the mutation"
        path.write_text(source.replace(mutation.old, mutation.new))
        return "STAYED GREEN" if _passes(copy, mutation) else "red"


def _passes(copy: Path, mutation: Mutation) -> bool:
    """Return whether the mutation's test passes in the copied tree."""
    folders = (*sorted(copy.glob("libraries/*/src")), copy / "platform/src")
    sources = [str(folder) for folder in folders]
    paths = os.pathsep.join([*sources, str(copy / "tools")])
    completed = subprocess.run(
        [sys.executable, "-m", "unittest", mutation.test],
        cwd=copy / mutation.suite,
        env={**os.environ, "PYTHONPATH": paths, "PYTHONDONTWRITEBYTECODE": "1"},
        capture_output=True,
        timeout=TEST_TIMEOUT_SECONDS,
    )
    return completed.returncode == 0


def main(only: str = "", module: str = "") -> None:
    """Run every mutation whose safeguard contains ``only``, and its test ``module``."""
    selected = [m for m in ALL_MUTATIONS if only in m.safeguard and module in m.test]
    with ThreadPoolExecutor(WORKERS) as pool:
        outcomes = list(pool.map(run_mutation, selected))
    for mutation, outcome in zip(selected, outcomes, strict=True):
        print(f"{outcome:14} {mutation.safeguard}  [{mutation.test}]")
    red = outcomes.count("red")
    print(
        f"{red} of {len(outcomes)} safeguards have a test that turns red without them"
    )
    sys.exit(0 if red == len(outcomes) else 1)


if __name__ == "__main__":
    fire.Fire(main)
