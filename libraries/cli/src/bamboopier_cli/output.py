"""Output of commands: text for people by default, JSON for programs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence


def render(
    value: msgspec.Struct | Sequence[msgspec.Struct], text: str, json: bool
) -> str:
    """Return ``value`` as JSON if ``json`` is set, or else ``text``."""
    return msgspec.json.encode(value).decode() if json else text
