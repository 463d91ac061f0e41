"""Decodes JSON files into validated objects, or returns an error of one line."""

from __future__ import annotations

import difflib
import json
import re
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from result import Err, Ok, Result

from .errors import ConfigurationError
from .schema import find_class, find_fields, find_value

if TYPE_CHECKING:
    from pathlib import Path

T = TypeVar("T")

MAX_FILE_BYTES = 16 * 1024 * 1024
# Characters of an invalid value that an error shows at most.
MAX_VALUE_CHARACTERS = 60
# Values of these fields are left out of errors, which end up in logs and tickets. This
# includes digests, because the usual mistake is to put the API key itself there.
SECRET_FIELDS = re.compile(r"\.(block_secret|api_key_digests)\b")

_UNKNOWN_FIELD = re.compile(r"Object contains unknown field `(.*)`$", re.DOTALL)
_MISSING_FIELD = re.compile(r"Object missing required field `(.*)`$")
_EXPECTED = re.compile(r"Expected (.*?)(?:, got .*)?$")
_WRONG_CHOICE = re.compile(r"Invalid enum value .*$", re.DOTALL)


class _DuplicateKeyError(Exception):
    """An object has the same key twice."""

    def __init__(self, key: str) -> None:
        super().__init__(key)
        self.key = key


def read_file(path: Path, kind: type[T]) -> Result[T, ConfigurationError]:
    """Read ``path`` as a validated object of ``kind``."""
    allowed = f"a readable JSON file of at most {MAX_FILE_BYTES} bytes"
    try:
        with path.open("rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        found = error.strerror or "unreadable file"
        return Err(ConfigurationError(str(path), "$", found, allowed))
    if len(content) > MAX_FILE_BYTES:
        return Err(ConfigurationError(str(path), "$", "a larger file", allowed))
    return decode(content, kind, str(path))


def decode(content: bytes, kind: type[T], file: str) -> Result[T, ConfigurationError]:
    """Decode ``content``; ``file`` is its source in errors."""
    try:
        checked = msgspec.json.decode(content, type=kind)
        # msgspec uses the last of two equal keys and ignores the first without an
        # error, so the content is decoded again with a check for duplicates.
        json.loads(content, object_pairs_hook=_refuse_duplicates)
    except msgspec.ValidationError as error:
        return Err(_make_error(error, content, kind, file))
    except _DuplicateKeyError as error:
        found = f"duplicate key '{_truncate(error.key)}'"
        return Err(ConfigurationError(file, "$", found, "each key once an object"))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        found = _truncate(str(error)) or "invalid JSON"
        return Err(ConfigurationError(file, "$", found, "valid JSON in UTF-8"))
    return Ok(checked)


def format_value(value: Any) -> str:
    """Return a value as JSON, truncated for use in an error of one line."""
    return _truncate(json.dumps(value, ensure_ascii=False))


def _make_error(
    error: msgspec.ValidationError, content: bytes, kind: Any, file: str
) -> ConfigurationError:
    message, _, quoted = str(error).rpartition(" - at ")
    if not message:
        message, quoted = str(error), "`$`"
    path = quoted.strip("`")
    if unknown := _UNKNOWN_FIELD.match(message):
        return _make_unknown_key_error(unknown[1], kind, path, file)
    if missing := _MISSING_FIELD.match(message):
        found = f"no '{missing[1]}'"
        return ConfigurationError(file, path, found, f"'{missing[1]}' is required")
    try:
        value = find_value(json.loads(content), path)
    except (ValueError, RecursionError):
        return ConfigurationError(file, path, "an invalid value", message)
    found = (
        f"a hidden {_describe_type(value)}" if _is_secret(path) else format_value(value)
    )
    return ConfigurationError(file, path, found, _list_allowed(message, kind, path))


def _make_unknown_key_error(
    name: str, kind: Any, path: str, file: str
) -> ConfigurationError:
    fields = find_fields(kind, path)
    elsewhere = getattr(find_class(kind, path), "elsewhere", {})
    allowed = ", ".join(fields)
    near = difflib.get_close_matches(name, fields, n=1)
    if name in elsewhere:
        allowed = f"{allowed} ({elsewhere[name]})"
    elif near:
        allowed = f"{allowed} (did you mean '{near[0]}'?)"
    return ConfigurationError(file, path, f"unknown key '{_truncate(name)}'", allowed)


def _list_allowed(message: str, kind: Any, path: str) -> str:
    if _WRONG_CHOICE.match(message):
        parent, _, name = path.rpartition(".")
        field = find_fields(kind, parent).get(name)
        values = getattr(field.type, "values", ()) if field is not None else ()
        return ", ".join(json.dumps(value) for value in values) or message
    if expected := _EXPECTED.match(message):
        return expected[1].replace("`", "")
    return message


def _is_secret(path: str) -> bool:
    return SECRET_FIELDS.search(path) is not None


def _describe_type(value: Any) -> str:
    if isinstance(value, str):
        return f"text of {len(value)} characters"
    return "value of another type"


def _refuse_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key, value in pairs:
        if key in found:
            raise _DuplicateKeyError(key)
        found[key] = value
    return found


def _truncate(text: str) -> str:
    return (
        text
        if len(text) <= MAX_VALUE_CHARACTERS
        else text[:MAX_VALUE_CHARACTERS] + "..."
    )
