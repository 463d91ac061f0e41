"""Look-ups in msgspec types and decoded JSON by the JSON path of an error."""

from __future__ import annotations

import re
from typing import Any

import msgspec

_STEP = re.compile(r"\.([A-Za-z0-9_-]+)|\[(\d+)\]")


def split_path(path: str) -> list[str | int]:
    """Return the steps of a path such as ``$.services[0].name``."""
    steps: list[str | int] = []
    for match in _STEP.finditer(path):
        name, index = match.groups()
        steps.append(name if name is not None else int(index))
    return steps


def find_value(document: Any, path: str) -> Any:
    """Return the value at ``path`` in a decoded document, or None without one."""
    for step in split_path(path):
        try:
            document = document[step]
        except (KeyError, IndexError, TypeError):
            return None
    return document


def find_fields(kind: Any, path: str) -> dict[str, msgspec.inspect.Field]:
    """Return the fields of the object type at ``path`` below ``kind``, by name."""
    found = msgspec.inspect.type_info(kind)
    for step in split_path(path):
        found = _descend(unwrap(found), step)
    struct = unwrap(found)
    if not isinstance(struct, msgspec.inspect.StructType):
        return {}
    return {field.encode_name: field for field in struct.fields}


def find_class(kind: Any, path: str) -> type | None:
    """Return the class of the object at ``path`` below ``kind``."""
    found = msgspec.inspect.type_info(kind)
    for step in split_path(path):
        found = _descend(unwrap(found), step)
    struct = unwrap(found)
    return struct.cls if isinstance(struct, msgspec.inspect.StructType) else None


def unwrap(kind: msgspec.inspect.Type) -> msgspec.inspect.Type:
    """Return the type without its annotations and without ``None``."""
    while True:
        if isinstance(kind, msgspec.inspect.Metadata):
            kind = kind.type
        elif isinstance(kind, msgspec.inspect.UnionType):
            kind = next(
                t for t in kind.types if not isinstance(t, msgspec.inspect.NoneType)
            )
        else:
            return kind


def _descend(kind: msgspec.inspect.Type, step: str | int) -> msgspec.inspect.Type:
    if isinstance(kind, msgspec.inspect.ListType | msgspec.inspect.VarTupleType):
        return kind.item_type
    if isinstance(kind, msgspec.inspect.DictType):
        return kind.value_type
    if isinstance(kind, msgspec.inspect.StructType):
        for field in kind.fields:
            if field.encode_name == step:
                return field.type
    return msgspec.inspect.AnyType()
