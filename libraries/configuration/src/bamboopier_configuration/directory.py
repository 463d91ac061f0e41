"""Look-ups in one published configuration."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .model import Configuration, Model, Service, Store, Workspace


class Directory:
    """Indexes one generation of the configuration by the names in it."""

    __slots__ = (
        "_workspaces_by_digest",
        "configuration",
        "generation",
        "models",
        "services",
        "stores",
        "workspaces",
    )

    def __init__(self, generation: int, configuration: Configuration) -> None:
        self.generation = generation
        self.configuration = configuration
        self.services: dict[str, Service] = {s.name: s for s in configuration.services}
        self.models: dict[str, Model] = {m.name: m for m in configuration.models}
        self.stores: dict[str, Store] = {s.name: s for s in configuration.stores}
        self.workspaces: dict[str, Workspace] = {
            w.name: w for w in configuration.workspaces
        }
        self._workspaces_by_digest: dict[str, Workspace] = {
            digest: workspace
            for workspace in configuration.workspaces
            for digest in workspace.api_key_digests
        }

    def find_workspace(self, api_key: str) -> Workspace | None:
        """Return the workspace whose digest matches ``api_key``.

        The look-up is by SHA-256 of the key: its timing depends on the digest and so
        does not reveal how many characters of a guessed key are correct.
        """
        return self._workspaces_by_digest.get(digest_api_key(api_key))


def digest_api_key(api_key: str) -> str:
    """Return the digest of an API key that the configuration contains."""
    # Bytes of a header value that are not UTF-8 are decoded as surrogates.
    return hashlib.sha256(api_key.encode(errors="surrogateescape")).hexdigest()
