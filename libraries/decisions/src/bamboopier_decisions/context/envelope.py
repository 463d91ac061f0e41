"""The stored form of a block, with everything that a reader needs to verify it.

A store may hold a half-written block, return space that was freed and reused, or damage
bytes. The reader checks magic, key, weight version, length and a keyed digest over all
of it; a mismatch is a miss. The digest comes last, so that a write truncated anywhere
fails the check; it is keyed by the workspace's secret, so that the check also fails for
any other workspace.
"""

from __future__ import annotations

import hmac
import struct

MAGIC = b"BPB2"
# magic, key, length of version, length of payload
_HEADER = struct.Struct(">4s32sHQ")
DIGEST_BYTES = 32


def seal_block(secret: bytes, key: bytes, version: str, payload: bytes) -> bytes:
    """Return the stored form of a block."""
    name = version.encode()
    content = _HEADER.pack(MAGIC, key, len(name), len(payload)) + name + payload
    return content + _compute_digest(secret, content)


def open_block(secret: bytes, key: bytes, version: str, stored: bytes) -> bytes | None:
    """Return the payload if ``stored`` is exactly this block, else None.

    Takes some 50 ms for a block of 57 MB, so it must not run on an event loop.
    """
    if len(stored) < _HEADER.size + DIGEST_BYTES:
        return None
    # Slices of a memoryview do not copy the block, which is large.
    view = memoryview(stored)
    content, digest = view[:-DIGEST_BYTES], view[-DIGEST_BYTES:]
    if not hmac.compare_digest(_compute_digest(secret, content), digest):
        return None
    magic, found_key, name_length, length = _HEADER.unpack_from(content)
    name = content[_HEADER.size : _HEADER.size + name_length]
    payload = content[_HEADER.size + name_length :]
    matches = (
        magic == MAGIC
        and found_key == key
        and name == version.encode()
        and len(payload) == length
    )
    return bytes(payload) if matches else None


def _compute_digest(secret: bytes, content: bytes | memoryview) -> bytes:
    # SHA-256 has processor instructions of its own and reaches 1.2 GB per second;
    # BLAKE2b reaches 0.46, which is less than a link carries.
    return hmac.digest(secret, content, "sha256")
