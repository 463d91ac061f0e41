"""Measures an agent's index of resident blocks: ``python -m capacity.blocks COUNT``.

Prints the megabytes that COUNT blocks add to a new process.
"""

from __future__ import annotations

import os

import fire

from bamboopier_decisions.context.resident import ResidentKeys

from .usage import read_memory

KEY_BYTES = 32


def main(count: int) -> None:
    """Add ``count`` random keys and print the memory that they need."""
    before = read_memory(os.getpid())
    resident = ResidentKeys()
    for number in range(count):
        resident.confirm(float(number), [os.urandom(KEY_BYTES)])
    print(read_memory(os.getpid()) - before)


if __name__ == "__main__":
    fire.Fire(main)
