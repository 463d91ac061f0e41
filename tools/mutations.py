"""The safeguards: each with the change that removes it and the test that notices."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Mutation:
    """Replace ``old`` by ``new`` in ``file``; ``test`` must turn red.

    ``suite`` is the folder whose tests are run (``.`` for the system tests) and
    ``test`` a dotted name below it.
    """

    safeguard: str
    file: str
    old: str
    new: str
    suite: str
    test: str


MUTATIONS = (
    Mutation(
        "a block's digest is checked by its reader",
        "libraries/decisions/src/bamboopier_decisions/context/envelope.py",
        "    if not hmac.compare_digest(_compute_digest(secret, content), digest):\n"
        "        return None\n",
        "",
        "libraries/decisions",
        "tests.test_envelope",
    ),
)
