"""Checks the imports between libraries, and that ``decisions`` imports no I/O."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

LIBRARIES = Path(__file__).resolve().parent.parent / "libraries"
PREFIX = "bamboopier_"
# The libraries of this project that each library may import.
ALLOWED: dict[str, set[str]] = {
    "decisions": set(),
    "protocol": set(),
    "configuration": set(),
    "standins": set(),
    "replay": {"configuration"},
    "daemon": {"configuration", "decisions"},
    "objects": {"configuration", "protocol"},
    "gateway": {"configuration", "daemon", "decisions", "objects", "protocol"},
    "agent": {"configuration", "daemon", "decisions", "objects", "protocol"},
    "proxy": {"agent", "configuration", "daemon", "decisions", "gateway", "objects"},
    "cli": {"agent", "configuration", "daemon", "decisions", "gateway", "objects"}
    | {"protocol", "replay"},
}
# The modules that the library ``decisions`` may import: pure computation only.
PURE_MODULES = frozenset(
    {"__future__", "bisect", "collections", "dataclasses", "enum", "hashlib", "heapq"}
    | {
        "hmac",
        "itertools",
        "math",
        "msgspec",
        "random",
        "sortedcontainers",
        "struct",
        "typing",
        "functools",
    }
)


def list_imports(path: Path) -> set[str]:
    """Return the top-level names of all modules that a file imports absolutely."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found.update(alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.level == 0 and node.module:
            found.add(node.module.split(".")[0])
    return found


def find_violations(library: str, allowed: set[str]) -> list[str]:
    """Return a line for each import that a library may not make."""
    violations: list[str] = []
    for path in sorted((LIBRARIES / library / "src").rglob("*.py")):
        imports = list_imports(path)
        imported_libraries = {
            n.removeprefix(PREFIX) for n in imports if n.startswith(PREFIX)
        }
        for name in sorted(imported_libraries - allowed - {library}):
            violations.append(f"{path.name}: {library} may not import {PREFIX}{name}")
        if library == "decisions":
            impure = imports - PURE_MODULES - {f"{PREFIX}{library}"}
            violations.extend(f"{path}: decisions may not import {n}" for n in impure)
            violations.extend(find_random_import(path))
    return violations


def find_random_import(path: Path) -> list[str]:
    """Return a line if a file imports ``random`` at the top level of the module.

    Its functions use the global random generator; types of it may be imported under
    ``TYPE_CHECKING``.
    """
    tree = ast.parse(path.read_text())
    imported = any(
        isinstance(node, ast.Import) and any(a.name == "random" for a in node.names)
        for node in tree.body
    )
    if imported:
        return [f"{path}: import random only under TYPE_CHECKING"]
    return []


def main() -> None:
    """Check every library; exit with 1 if an import breaks the rules."""
    existing = {p.name for p in LIBRARIES.iterdir() if p.is_dir()}
    violations = [
        f"no rule for library {name}" for name in sorted(existing - set(ALLOWED))
    ]
    for library, allowed in ALLOWED.items():
        violations.extend(find_violations(library, allowed))
    for violation in violations:
        print(violation, file=sys.stderr)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
