"""Failures of reading settings and configuration."""

from __future__ import annotations


class BamboopierError(Exception):
    """Base of every failure that bamboopier names."""


class ConfigurationError(BamboopierError):
    """A settings or configuration file that may not be used.

    ``file`` and ``path`` (JSON path inside it) name the place, ``found`` and
    ``allowed`` what stands there and what may. The text is always one line.
    """

    def __init__(self, file: str, path: str, found: str, allowed: str) -> None:
        text = f"{file}: at {path}: found {found}; allowed: {allowed}"
        super().__init__(" ".join(text.split()))
        self.file = file
        self.path = path
        self.found = found
        self.allowed = allowed
