"""Names of stored blocks, from which agents evict without reading the blocks.

A store VM runs none of this project's software, so the list of names is the only
information on its content that all agents share. A name holds a tag of the workspace (a
keyed hash, which reveals nothing to an observer) and the block's depth in its prompt. A
reader computes the complete name from the prompt alone, without a look-up.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

TAG_BYTES = 8
MAX_DEPTH = 0xFFFF


@dataclass(frozen=True, slots=True)
class BlockName:
    """Workspace tag, position in the prompt (0 is first) and key of a stored block."""

    tag: str
    depth: int
    key: bytes

    def __str__(self) -> str:
        return f"{self.tag}-{min(self.depth, MAX_DEPTH):04x}-{self.key.hex()}"


def derive_workspace_tag(block_secret: bytes, workspace: str) -> str:
    """Return the hex tag under which a workspace's blocks are counted."""
    return hashlib.blake2b(
        workspace.encode(), key=block_secret, digest_size=TAG_BYTES, person=b"tag"
    ).hexdigest()


def parse_block_name(text: str) -> BlockName | None:
    """Return the parts of a stored name, or None if no agent wrote it."""
    parts = text.split("-")
    if len(parts) != 3 or len(parts[0]) != 2 * TAG_BYTES:
        return None
    try:
        return BlockName(parts[0], int(parts[1], 16), bytes.fromhex(parts[2]))
    except ValueError:
        return None
