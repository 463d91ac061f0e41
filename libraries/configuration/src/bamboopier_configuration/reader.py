"""Decode JSON files into checked objects, or say what is wrong in one line."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec
from result import Err, Ok, Result

from .errors import ConfigurationError

if TYPE_CHECKING:
    from pathlib import Path

T = TypeVar("T")


def read_file(path: Path, kind: type[T]) -> Result[T, ConfigurationError]:
    """Read ``path`` as a checked object of ``kind``."""
    try:
        content = path.read_bytes()
    except OSError as error:
        found = error.strerror or "unreadable file"
        return Err(ConfigurationError(str(path), "$", found, "a readable JSON file"))
    return decode(content, kind, str(path))


def decode(content: bytes, kind: type[T], file: str) -> Result[T, ConfigurationError]:
    """Decode ``content``; ``file`` names its source in errors."""
    try:
        return Ok(msgspec.json.decode(content, type=kind))
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at ")
        return Err(ConfigurationError(file, path.strip("`") or "$", "error", message))
    except msgspec.DecodeError as error:
        return Err(ConfigurationError(file, "$", str(error), "valid JSON"))
