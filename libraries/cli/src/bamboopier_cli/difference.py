"""Differences between two configurations, by section and name."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

import msgspec

if TYPE_CHECKING:
    from bamboopier_configuration.model import Configuration

SECTIONS = ("services", "workspaces", "models", "stores")
_SIGNS = {"added": "+", "removed": "-", "changed": "~"}


class Difference(msgspec.Struct, frozen=True):
    """One item that was added, removed or changed."""

    section: str
    name: str
    change: Literal["added", "removed", "changed"]


def compare_configurations(old: Configuration, new: Configuration) -> list[Difference]:
    """Return the changes from ``old`` to ``new``, ordered by section and name."""
    differences: list[Difference] = []
    for section in SECTIONS:
        before = {item.name: item for item in getattr(old, section)}
        after = {item.name: item for item in getattr(new, section)}
        for name in sorted(before.keys() | after.keys()):
            if name not in before:
                differences.append(Difference(section, name, "added"))
            elif name not in after:
                differences.append(Difference(section, name, "removed"))
            elif before[name] != after[name]:
                differences.append(Difference(section, name, "changed"))
    return differences


def format_differences(differences: list[Difference]) -> str:
    """Return one line per difference."""
    lines = [f"{_SIGNS[d.change]} {d.section} {d.name}" for d in differences]
    return "\n".join(lines) or "no difference"
