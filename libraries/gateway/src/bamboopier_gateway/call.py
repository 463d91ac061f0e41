"""Types of a caller's request after authentication and parsing."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ModelCall:
    """The model-specific part of a call."""

    model: str
    weight_version: str
    block_keys: tuple[bytes, ...]
    block_tokens: int
    prompt_tokens: int
    max_tokens: int
    cache_salt: str
    stream: bool


@dataclass(frozen=True, slots=True)
class Call:
    """One request to a target; ``deadline`` in seconds of the monotonic clock."""

    request_id: str
    workspace: str
    service: str
    method: str
    # Path and query, as the target receives them.
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float
    priority: int
    idempotent: bool
    idempotency_key: str
    model: ModelCall | None = None

    @property
    def fingerprint(self) -> bytes:
        """Return the digest that identifies repeats of the same request."""
        hashed = hashlib.blake2b(digest_size=16)
        for part in (self.method.encode(), self.path.encode(), self.body):
            hashed.update(len(part).to_bytes(8, "big"))
            hashed.update(part)
        return hashed.digest()
