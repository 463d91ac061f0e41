"""``bamboopier check``: check configuration files without a network."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from result import Err

from bamboopier_configuration.collection import collect, find_files

from ..exit_codes import USAGE_ERROR, CommandError, fail_configuration
from ..output import render

if TYPE_CHECKING:
    from bamboopier_configuration.model import Configuration


class CheckResult(msgspec.Struct, frozen=True):
    """How much was found, all of it in order."""

    services: int
    workspaces: int
    models: int
    stores: int


def check(*roots: str, json: bool = False) -> str:
    """Check all configuration files at or below ROOTS as one whole, offline.

    ROOTS are files or folders, by default this folder; files are found by their ending
    .bamboopier.json. The first fault is named with its file and JSON path.
    """
    configuration = collect_or_fail(roots)
    found = CheckResult(
        len(configuration.services),
        len(configuration.workspaces),
        len(configuration.models),
        len(configuration.stores),
    )
    text = (
        f"ok: {found.services} services, {found.workspaces} workspaces, "
        f"{found.models} models, {found.stores} stores"
    )
    return render(found, text, json)


def collect_or_fail(roots: tuple[str, ...]) -> Configuration:
    """Return the joined configuration or end the command."""
    files = find_files(Path(root) for root in roots or (".",))
    if not files:
        raise CommandError("no *.bamboopier.json files found", USAGE_ERROR)
    answer = collect(files)
    if isinstance(answer, Err):
        fail_configuration(answer.err_value)
    return answer.ok_value
