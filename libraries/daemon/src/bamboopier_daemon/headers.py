"""Headers between two connections: their bytes, and those that are never forwarded.

The bytes of a value need not be text (RFC 9110, section 5.5). Each that is no UTF-8 is
a lone surrogate in a string, as aiohttp reads them, so all return unchanged.
"""

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


def decode_header(value: bytes) -> str:
    """Return a name or value as a string, from which its bytes can be made again."""
    return value.decode("utf-8", "surrogateescape")


def encode_header(text: str) -> bytes:
    """Return the bytes of a head, or of a name or value."""
    return text.encode("utf-8", "surrogateescape")


def is_text(value: str) -> bool:
    """Return whether the bytes of a value are UTF-8."""
    if value.isascii():
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def make_text(value: str) -> str:
    """Return a value whose bytes are UTF-8; others are taken for Latin-1.

    aiohttp writes no other bytes, and drops what it cannot write.
    """
    return value if is_text(value) else encode_header(value).decode("latin-1")


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
