"""The other gateways, as far as they are reachable by datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from .hints import Hint
    from .settings import Endpoint


class Peers(Protocol):
    """Selects other gateways and sends them datagrams."""

    def select_peers(self, key: bytes, count: int) -> list[Endpoint]:
        """Return the ``count`` gateways that all others select for ``key``."""
        ...

    def sample_peers(self, max_count: int) -> list[Endpoint]:
        """Return up to ``max_count`` of the other gateways."""
        ...

    def send(self, hint: Hint, to: Endpoint) -> None:
        """Send a datagram."""
        ...
