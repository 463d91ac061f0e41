"""``bamboopier check``: validate configuration files offline."""

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
    """Number of items of each section in a valid configuration."""

    services: int
    workspaces: int
    models: int
    stores: int


def check(*roots: str, json: bool = False) -> str:
    """Validate all configuration files at or below ROOTS together, offline.

    ROOTS are files or folders, by default the current folder; files are found by their
    suffix .bamboopier.json. The first error is reported with its file and JSON path.
    """
    configuration = collect_or_fail(roots)
    result = CheckResult(
        len(configuration.services),
        len(configuration.workspaces),
        len(configuration.models),
        len(configuration.stores),
    )
    text = (
        f"ok: {result.services} services, {result.workspaces} workspaces, "
        f"{result.models} models, {result.stores} stores"
    )
    return render(result, text, json)


def collect_or_fail(roots: tuple[str, ...]) -> Configuration:
    """Return the joined configuration; end the command if it is invalid."""
    files = find_files(Path(root) for root in roots or (".",))
    if not files:
        raise CommandError("no *.bamboopier.json files found", USAGE_ERROR)
    result = collect(files)
    if isinstance(result, Err):
        fail_configuration(result.err_value)
    return result.ok_value
