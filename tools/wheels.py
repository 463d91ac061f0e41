"""Checks that each pinned package can be installed on both kinds of machine.

A package needs a wheel for x86-64 and for arm64, or its build tools are installed
before it. Asks the configured index with ``pip``; installs nothing.
"""

from __future__ import annotations

import re
import subprocess
import sys
import tempfile
from pathlib import Path

CONSTRAINTS = Path("constraints.txt")
MACHINES = ("x86_64", "aarch64")
# Versions of the C library for which wheels are built, the oldest first.
PLATFORMS = ("manylinux2014", "manylinux_2_17", "manylinux_2_28", "manylinux_2_34")
PYTHON_VERSION = "3.11"
# Packages without a wheel on a kind of machine, and what their building needs. The
# build tools of the Makefile contain it.
SOURCE_ONLY = {("hdrhistogram", "aarch64"): ("setuptools", "pbr")}
_MISSING = re.compile(r"No matching distribution found for (\S+)")


def main() -> int:
    """Print each package that cannot be installed; return the exit status."""
    pins = CONSTRAINTS.read_text().split()
    faults = [fault for machine in MACHINES for fault in check(pins, machine)]
    for fault in faults:
        print(fault)
    kinds = " and ".join(MACHINES)
    print(f"{len(pins)} packages on {kinds}: {len(faults)} cannot be installed")
    return 1 if faults else 0


def check(pins: list[str], machine: str) -> list[str]:
    """Return why packages of ``pins`` cannot be installed on a kind of machine."""
    faults: list[str] = []
    names = {pin.partition("==")[0] for pin in pins}
    wanted = []
    for pin in pins:
        needs = SOURCE_ONLY.get((pin.partition("==")[0], machine))
        if needs is None:
            wanted.append(pin)
            continue
        missing = [need for need in needs if need not in names or not is_tool(need)]
        faults += [f"{pin} on {machine}: {need} is not installed" for need in missing]
    while (output := find_wheels(wanted, machine)) is not None:
        found = _MISSING.search(output)
        if found is None or found[1] not in wanted:
            return [*faults, f"{machine}: {output.strip()}"]
        faults.append(f"{found[1]} on {machine}: no wheel")
        wanted.remove(found[1])
    return faults


def is_tool(name: str) -> bool:
    """Return whether the Makefile installs ``name`` before what is built."""
    found = re.search(r"^BUILD_TOOLS := (.*)$", Path("Makefile").read_text(), re.M)
    return found is not None and name in found[1].split()


def find_wheels(pins: list[str], machine: str) -> str | None:
    """Return the errors of ``pip``, or None if there is a wheel for each package."""
    platforms = [f"--platform={name}_{machine}" for name in PLATFORMS]
    with tempfile.TemporaryDirectory() as folder:
        command = [
            *(sys.executable, "-m", "pip", "install", "--dry-run", "--quiet"),
            *("--no-deps", "--only-binary=:all:", "--implementation=cp"),
            *(f"--python-version={PYTHON_VERSION}", f"--target={folder}"),
            *platforms,
            *pins,
        ]
        run = subprocess.run(command, capture_output=True, text=True, check=False)
    return run.stderr if run.returncode != 0 else None


if __name__ == "__main__":
    sys.exit(main())
