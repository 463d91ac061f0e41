"""Checks which library may import which, and that decisions perform no I/O."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

LIBRARIES = Path(__file__).resolve().parent.parent / "libraries"
PREFIX = "bamboopier_"
# Every library and the libraries of this project it may use.
ALLOWED: dict[str, set[str]] = {
    "decisions": set(),
    "protocol": set(),
    "configuration": set(),
    "standins": set(),
    "replay": {"configuration"},
    "daemon": {"configuration"},
    "objects": {"configuration", "protocol"},
    "gateway": {"configuration", "daemon", "decisions", "objects", "protocol"},
    "agent": {"configuration", "daemon", "decisions", "objects", "protocol"},
    "proxy": {"agent", "configuration", "daemon", "decisions", "gateway", "objects"},
    "cli": {"agent", "configuration", "daemon", "decisions", "gateway", "objects"}
    | {"protocol", "replay"},
}
# What the decision library may use: pure computation only.
PURE_MODULES = frozenset(
    {"__future__", "bisect", "collections", "dataclasses", "enum", "hashlib", "heapq"}
    | {"hmac", "itertools", "math", "random", "struct", "typing", "functools"}
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


def find_faults(library: str, allowed: set[str]) -> list[str]:
    """Return one line for each import a library may not make."""
    faults: list[str] = []
    for path in sorted((LIBRARIES / library / "src").rglob("*.py")):
        imports = list_imports(path)
        own = {n.removeprefix(PREFIX) for n in imports if n.startswith(PREFIX)}
        for name in sorted(own - allowed - {library}):
            faults.append(f"{path.name}: {library} may not import {PREFIX}{name}")
        if library == "decisions":
            impure = imports - PURE_MODULES - {f"{PREFIX}{library}"}
            faults.extend(f"{path}: decisions may not import {n}" for n in impure)
            faults.extend(find_global_random(path))
    return faults


def find_global_random(path: Path) -> list[str]:
    """Return a line for each call of a function of the global random generator."""
    tree = ast.parse(path.read_text())
    imported = any(
        isinstance(node, ast.Import) and any(a.name == "random" for a in node.names)
        for node in tree.body
    )
    if imported:
        return [f"{path}: import random only under TYPE_CHECKING"]
    return []


def main() -> None:
    """Check every library."""
    known = {p.name for p in LIBRARIES.iterdir() if p.is_dir()}
    faults = [f"no rule for library {name}" for name in sorted(known - set(ALLOWED))]
    for library, allowed in ALLOWED.items():
        faults.extend(find_faults(library, allowed))
    for fault in faults:
        print(fault, file=sys.stderr)
    sys.exit(1 if faults else 0)


if __name__ == "__main__":
    main()
