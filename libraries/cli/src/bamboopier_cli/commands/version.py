"""``bamboopier version``: print the installed version."""

from __future__ import annotations

from importlib.metadata import version as read_version


def version() -> str:
    """Return the installed version."""
    return read_version("bamboopier-cli")
