"""Keys of a prompt's blocks.

A key is a keyed hash over everything that must match before a block may be used: the
workspace (through its secret), model, weight version, adapter, all tokens before and
the block's own tokens. Two workspaces or two weight versions never share a key, so a
look-up cannot cross them even when the prompts are equal.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

KEY_BYTES = 32
SEPARATOR = b"\x00"


def derive_workspace_secret(block_secret: bytes, workspace: str) -> bytes:
    """Return the secret of one workspace, derived from the fleet's block secret."""
    return hashlib.blake2b(
        workspace.encode(), key=block_secret, digest_size=KEY_BYTES, person=b"workspace"
    ).digest()


def compute_block_keys(
    secret: bytes,
    model: str,
    weight_version: str,
    adapter: str,
    tokens: Sequence[str],
    block_tokens: int,
) -> tuple[bytes, ...]:
    """Return the keys of the prompt's complete blocks, first block first."""
    identity = SEPARATOR.join(
        part.encode() for part in (model, weight_version, adapter)
    )
    parent = hashlib.blake2b(identity, key=secret, digest_size=KEY_BYTES).digest()
    keys: list[bytes] = []
    for start in range(0, len(tokens) - block_tokens + 1, block_tokens):
        block = tokens[start : start + block_tokens]
        hashed = hashlib.blake2b(parent, key=secret, digest_size=KEY_BYTES)
        for token in block:
            hashed.update(token.encode())
            hashed.update(SEPARATOR)
        parent = hashed.digest()
        keys.append(parent)
    return tuple(keys)
