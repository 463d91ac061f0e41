"""Makes the virtual environment, and says in one line what is missing for it.

Runs on the machine's own Python, whatever its version, with the standard library alone:

    python3 tools/set_up.py FOLDER BUILD_TOOLS PACKAGES...

``BUILD_TOOLS`` are separated by spaces; ``PACKAGES`` are arguments of ``pip``.
"""

from __future__ import annotations

import platform
import re
import shutil
import subprocess
import sys
from pathlib import Path

VERSION = (3, 11)
MACHINES = ("x86_64", "aarch64")
CONSTRAINTS = "constraints.txt"
# What pip says when it reaches no index, whatever its version.
_UNREACHABLE = re.compile(
    r"NewConnectionError|NameResolutionError|ConnectTimeout|ProxyError|SSLError"
)
_NO_PACKAGE = re.compile(
    r"No matching distribution found for (\S+)|The user requested \(constraint\) (\S+)"
)
_NOT_BUILT = re.compile(r"Failed (?:building wheel for|to build) (\S+)")


def main(folder: str, build_tools: str, *packages: str) -> int:
    """Set up the environment; return the exit status."""
    fault = find_fault()
    if fault is None:
        print(f"setting up {folder}: an environment (1 of 3)", flush=True)
        fault = run([sys.executable, "-m", "venv", folder], folder)
    if fault is None:
        print(f"setting up {folder}: build tools (2 of 3)", flush=True)
        fault = install(folder, build_tools.split())
    if fault is None:
        print(f"setting up {folder}: packages (3 of 3)", flush=True)
        fault = install(folder, ["--no-build-isolation", *packages])
    if fault is None:
        return 0
    print(f"bamboopier is not set up: {fault}", file=sys.stderr)
    return 1


def find_fault() -> str | None:
    """Return what the machine lacks, or None."""
    if sys.version_info[:2] != VERSION:
        return f"python3 is Python {platform.python_version()}, and 3.11 is needed"
    machine = platform.machine()
    if machine not in MACHINES:
        return f"this is a {machine} machine, and {' or '.join(MACHINES)} is needed"
    return None


def install(folder: str, arguments: list[str]) -> str | None:
    """Install packages; return why that failed, or None."""
    python = str(Path(folder, "bin", "python"))
    pip = [python, "-m", "pip", "install", "--constraint", CONSTRAINTS]
    return run([*pip, *arguments], folder)


def run(command: list[str], folder: str) -> str | None:
    """Run a command; return why it failed, or None.  All of its output is kept."""
    done = subprocess.run(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, check=False
    )
    if done.returncode == 0:
        return None
    output = done.stdout.decode(errors="replace")
    log = Path(f"{folder}.log")
    log.write_text(output)
    return f"{explain(output)} (all that it said is in {log})"


def explain(output: str) -> str:
    """Return the cause that the output of a command names."""
    if _UNREACHABLE.search(output):
        return "the package index cannot be reached"
    if found := _NO_PACKAGE.search(output):
        package = found[1] or found[2]
        return f"the package index has no {package} for this machine"
    if found := _NOT_BUILT.search(output):
        cause = "" if shutil.which("cc") else ", and there is no C compiler (cc)"
        return f"{found[1].rstrip(',')} could not be built{cause}"
    lines = output.strip().splitlines() or ["no output"]
    return lines[-1]


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
