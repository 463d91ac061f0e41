"""Talks to a gateway byte by byte, as broken and hostile callers do."""

from __future__ import annotations

import json
import socket
from contextlib import suppress
from typing import Any
from urllib.parse import urlsplit

from .builders import FOSSE_KEY

# Long enough for any limit that a test sets; reaching it fails the test.
WAIT_TIMEOUT_SECONDS = 30.0
AUTHORIZATION = f"Authorization: Bearer {FOSSE_KEY}\r\n"


def connect(url: str, receive_buffer: int = 0) -> socket.socket:
    """Open a connection; a small ``receive_buffer`` makes a slow reader."""
    address = urlsplit(url)
    connection = socket.socket()
    connection.settimeout(WAIT_TIMEOUT_SECONDS)
    if receive_buffer:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    connection.connect((address.hostname or "", address.port or 0))
    return connection


def make_head(method: str, path: str, *headers: str) -> bytes:
    """Return a request's head with a valid API key."""
    lines = [f"{method} {path} HTTP/1.1", "Host: gateway", AUTHORIZATION.strip()]
    return "\r\n".join([*lines, *headers, "", ""]).encode("latin-1")


def read_to_end(connection: socket.socket) -> bytes:
    """Return everything until the other side closes or resets."""
    received = bytearray()
    with suppress(ConnectionResetError):
        while chunk := connection.recv(65_536):
            received += chunk
    return bytes(received)


def exchange(url: str, sent: bytes) -> bytes:
    """Send bytes and return everything that comes back until the connection ends."""
    with connect(url) as connection:
        with suppress(ConnectionError):
            connection.sendall(sent)
        return read_to_end(connection)


def read_response(received: bytes) -> tuple[int, dict[str, Any]]:
    """Return status and typed error of a raw answer."""
    head, _, body = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), dict(json.loads(body)["error"])
