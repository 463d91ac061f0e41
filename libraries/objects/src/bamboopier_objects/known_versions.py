"""The versions of the objects that a process knows, and a fingerprint of all of them.

A revision does not say what a process knows: that of the newest object stays when an
object is removed, and that of the store rises with objects below other prefixes. Two
processes with the same fingerprint know the same objects, however they learned of them.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

_DIGEST_BYTES = 8
_MODULUS = 1 << (8 * _DIGEST_BYTES)


class KnownVersions:
    """Versions by key; the fingerprint follows each change."""

    __slots__ = ("_versions", "fingerprint")

    def __init__(self) -> None:
        self._versions: dict[str, int] = {}
        # Sum of the digests of all keys with their versions, modulo 2 to the 64th.
        self.fingerprint = 0

    def find(self, key: str) -> int | None:
        """Return the version of an object, or None if it does not exist."""
        return self._versions.get(key)

    def put(self, key: str, version: int) -> None:
        """Record that an object has a version."""
        self.remove(key)
        self._versions[key] = version
        self.fingerprint = (self.fingerprint + _digest(key, version)) % _MODULUS

    def remove(self, key: str) -> None:
        """Record that an object does not exist."""
        version = self._versions.pop(key, None)
        if version is not None:
            self.fingerprint = (self.fingerprint - _digest(key, version)) % _MODULUS

    def replace(self, versions: Mapping[str, int]) -> bool:
        """Record that these are all objects; return whether any of them is changed."""
        if self._versions == versions:
            return False
        for key in self._versions.keys() - versions.keys():
            self.remove(key)
        for key, version in versions.items():
            if self._versions.get(key) != version:
                self.put(key, version)
        return True


def _digest(key: str, version: int) -> int:
    text = f"{version}:{key}".encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
