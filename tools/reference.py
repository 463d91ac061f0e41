"""Writes docs/configuration.md from the checked types, or checks that it is current."""

from __future__ import annotations

import inspect
import json
import re
import sys
from pathlib import Path
from typing import Any

import fire
import msgspec

from bamboopier_configuration.model import ConfigurationFile
from bamboopier_configuration.schema import unwrap
from bamboopier_configuration.settings import AgentSettings, GatewaySettings

PAGE = Path(__file__).resolve().parent.parent / "docs" / "configuration.md"
INTRODUCTION = """\
# Configuration reference

Made from the checked types by `make reference`; `make check` fails when it has drifted.
Do not edit it by hand. How to use the files stands in [operators.md](operators.md).

An unknown key, a wrong type, a value out of range or a missing required key makes the
whole file unusable: one line names the file, the JSON path, what was found and what is
allowed, and the command ends with exit code 2.

All durations are in seconds and all sizes in bytes, as the names say.
"""
PARTS: list[tuple[str, str, type]] = [
    (
        "Operators' files",
        "`NAME.bamboopier.json`, beside each service's code. All files together make "
        "one configuration, so a name defined in one file may be used in another. "
        "Drains are no part of them: the commands drain and restore set those.",
        ConfigurationFile,
    ),
    (
        "Settings of a gateway",
        "The file that `bamboopier gateway --settings FILE` reads at its start.",
        GatewaySettings,
    ),
    (
        "Settings of an agent",
        "The file that `bamboopier agent --settings FILE` reads at its start.",
        AgentSettings,
    ),
]
_FIELD = re.compile(r"^    (\w+): ")
_BOUNDS = {"ge": "at least", "gt": "above", "le": "at most", "lt": "below"}


def describe(kind: msgspec.inspect.Type) -> str:
    """Return a type and its allowed values, as a table cell."""
    inner = unwrap(kind)
    if isinstance(inner, msgspec.inspect.ListType):
        length_bound = f", at least {inner.min_length}" if inner.min_length else ""
        return f"list of {describe(inner.item_type)}{length_bound}"
    if isinstance(inner, msgspec.inspect.StructType):
        return f"[{inner.cls.__name__}](#{inner.cls.__name__.lower()})"
    if isinstance(inner, msgspec.inspect.LiteralType):
        return ", ".join(f"`{json.dumps(value)}`" for value in inner.values)
    return _describe_scalar(inner)


def _describe_scalar(kind: Any) -> str:
    names = {"IntType": "whole number", "FloatType": "number", "StrType": "text"}
    name = names.get(type(kind).__name__, "true or false")
    if getattr(kind, "pattern", None):
        return f"text matching `{kind.pattern}`".replace("|", "\\|")
    bounds = [
        f"{words} {getattr(kind, bound):g}"
        if isinstance(getattr(kind, bound), float)
        else f"{words} {getattr(kind, bound):,}"
        for bound, words in _BOUNDS.items()
        if getattr(kind, bound, None) is not None
    ]
    return ", ".join([name, *bounds])


def read_comments(kind: type) -> dict[str, str]:
    """Return the comment above each field of a class, by field name."""
    found: dict[str, str] = {}
    comment: list[str] = []
    for line in inspect.getsource(kind).splitlines():
        if line.strip().startswith("#"):
            comment.append(line.strip().removeprefix("#").strip())
        elif match := _FIELD.match(line):
            found[match[1]] = " ".join(comment)
            comment = []
        else:
            comment = []
    return found


def describe_default(field: msgspec.inspect.Field) -> str:
    """Return a field's default as JSON."""
    if field.required:
        return "required"
    if field.default_factory is not msgspec.NODEFAULT:
        return "`[]`"
    if isinstance(field.default, msgspec.Struct):
        return "`{}`"
    return f"`{json.dumps(field.default)}`"


def describe_class(kind: type, level: str) -> list[str]:
    """Return a heading, the docstring and the table of fields of a class."""
    comments = read_comments(kind)
    lines = [f"{level} {kind.__name__}", "", inspect.getdoc(kind) or "", ""]
    lines += ["| key | allowed | default | meaning |", "|---|---|---|---|"]
    struct = msgspec.inspect.type_info(kind)
    assert isinstance(struct, msgspec.inspect.StructType)
    for field in struct.fields:
        cells = [f"`{field.encode_name}`", describe(field.type)]
        cells += [describe_default(field), comments.get(field.name, "")]
        lines.append(f"| {' | '.join(cells)} |")
    return [*lines, ""]


def list_classes(kind: msgspec.inspect.Type, found: dict[type, None]) -> None:
    """Add the classes that a type refers to, in the order of their first use."""
    inner = unwrap(kind)
    if isinstance(inner, msgspec.inspect.ListType):
        list_classes(inner.item_type, found)
    elif isinstance(inner, msgspec.inspect.StructType):
        found.setdefault(inner.cls)
        for field in inner.fields:
            list_classes(field.type, found)


def make_page() -> str:
    """Return the complete page."""
    lines = [INTRODUCTION]
    described: dict[type, None] = {}
    for title, text, root in PARTS:
        lines += [f"## {title}", "", text, ""]
        classes: dict[type, None] = {}
        list_classes(msgspec.inspect.type_info(root), classes)
        for kind in classes:
            if kind not in described:
                lines += describe_class(kind, "###")
        described |= classes
    return "\n".join(lines).rstrip() + "\n"


def main(check: bool = False) -> None:
    """Write the page, or with ``--check`` exit with 1 if it is outdated."""
    page = make_page()
    if not check:
        PAGE.write_text(page)
        return
    if not PAGE.exists() or PAGE.read_text() != page:
        print("docs/configuration.md is outdated: run make reference", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(main)
