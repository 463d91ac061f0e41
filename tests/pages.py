"""Finds the fenced code blocks of the documentation pages."""

from __future__ import annotations

import re
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGES = [
    "README.md",
    "CONTRIBUTING.md",
    "docs/architecture.md",
    "docs/callers.md",
    "docs/operators.md",
    "docs/style.md",
]
NOT_RUN = "sh not-run:"
_FENCE = re.compile(
    r"^```(?P<info>[^\n]*)\n(?P<body>.*?)^```$", re.MULTILINE | re.DOTALL
)


@dataclass(frozen=True)
class CodeBlock:
    """One fenced code block of a page."""

    page: str
    line: int
    # The info string after the opening fence.
    info: str
    body: str

    def __str__(self) -> str:
        return f"{self.page}:{self.line} ({self.info})"


def list_code_blocks(info: str = "") -> list[CodeBlock]:
    """Return the code blocks of all pages, or those with exactly this ``info``."""
    found: list[CodeBlock] = []
    for page in PAGES:
        text = (ROOT / page).read_text()
        for match in _FENCE.finditer(text):
            line = text.count("\n", 0, match.start()) + 1
            found.append(CodeBlock(page, line, match["info"], match["body"]))
    return [block for block in found if info in ("", block.info)]
