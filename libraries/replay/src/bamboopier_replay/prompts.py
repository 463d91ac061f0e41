"""Builds the text of a prompt from its parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .trace import PromptPart


def make_prompt(parts: Iterable[PromptPart]) -> str:
    """Return the text of a prompt; equal parts always give equal text."""
    return " ".join(piece for part in parts if (piece := _make_part(part)))


def _make_part(part: PromptPart) -> str:
    if part.text:
        return part.text
    return " ".join(f"{part.seed}-{index}" for index in range(part.words))
