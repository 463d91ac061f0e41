"""``bamboopier version``: print the installed version."""

from __future__ import annotations

import platform
from importlib.metadata import version as read_version

import msgspec

from ..output import render


class Versions(msgspec.Struct, frozen=True):
    """Versions to state in a bug report."""

    bamboopier: str
    python: str


def version(*, json: bool = False) -> str:
    """Print the installed version."""
    found = Versions(read_version("bamboopier-cli"), platform.python_version())
    text = f"bamboopier {found.bamboopier} (Python {found.python})"
    return render(found, text, json)
