"""Errors of reading settings and configuration."""

from __future__ import annotations


class BamboopierError(Exception):
    """Base class of all errors that bamboopier defines."""


class ConfigurationError(BamboopierError):
    """A settings or configuration file is invalid.

    ``file`` and ``path`` (a JSON path in the file) give the position, ``found`` the
    invalid content and ``allowed`` the valid content. The text is always one line.
    """

    def __init__(self, file: str, path: str, found: str, allowed: str) -> None:
        text = f"{file}: at {path}: found {found}; allowed: {allowed}"
        super().__init__(" ".join(text.split()))
        self.file = file
        self.path = path
        self.found = found
        self.allowed = allowed
