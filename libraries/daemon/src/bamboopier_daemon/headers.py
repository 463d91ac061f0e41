"""Hop-by-hop headers, which belong to one connection and are never forwarded."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# RFC 9110, section 7.6.1, and headers that are generated for each connection.
HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "proxy-connection", "transfer-encoding", "te"}
    | {"upgrade", "trailer", "proxy-authenticate", "proxy-authorization"}
    | {"content-length", "host", "expect"}
)


def drop_hop_headers(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return ``headers`` without hop-by-hop ones and those listed in Connection."""
    listed = tuple(headers)
    named = {
        word.strip().lower()
        for name, value in listed
        if name.lower() == "connection"
        for word in value.split(",")
    }
    dropped = HOP_HEADERS | named
    return tuple((name, value) for name, value in listed if name.lower() not in dropped)
