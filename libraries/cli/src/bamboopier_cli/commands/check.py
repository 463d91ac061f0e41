"""``bamboopier check``: check configuration files without a network."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from result import Err

from bamboopier_cli.exits import USAGE, CommandError, fail_configuration
from bamboopier_configuration.collection import collect, find_files

if TYPE_CHECKING:
    from bamboopier_configuration.model import Configuration


def check(*roots: str) -> str:
    """Check all configuration files at or below ROOTS as one whole."""
    configuration = collect_or_fail(roots)
    return (
        f"ok: {len(configuration.services)} services, "
        f"{len(configuration.workspaces)} workspaces, "
        f"{len(configuration.models)} models, {len(configuration.stores)} stores"
    )


def collect_or_fail(roots: tuple[str, ...]) -> Configuration:
    """Return the joined configuration or end the command."""
    files = find_files(Path(root) for root in roots or (".",))
    if not files:
        raise CommandError("no *.bamboopier.json files found", USAGE)
    answer = collect(files)
    if isinstance(answer, Err):
        fail_configuration(answer.err_value)
    return answer.ok_value
