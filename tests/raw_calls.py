"""Sends raw bytes to a gateway, to imitate faulty and malicious callers."""

from __future__ import annotations

import json
import socket
from contextlib import suppress
from typing import Any
from urllib.parse import urlsplit

from .builders import FOSSE_KEY

# Longer than every timeout that a test configures; the test fails on reaching it.
WAIT_TIMEOUT_SECONDS = 30.0
AUTHORIZATION = f"Authorization: Bearer {FOSSE_KEY}\r\n"


def connect(url: str, receive_buffer: int = 0) -> socket.socket:
    """Open a connection; a small ``receive_buffer`` (bytes) imitates a slow reader."""
    address = urlsplit(url)
    connection = socket.socket()
    connection.settimeout(WAIT_TIMEOUT_SECONDS)
    if receive_buffer:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    connection.connect((address.hostname or "", address.port or 0))
    return connection


def make_head(method: str, path: str, *headers: str) -> bytes:
    """Return a request line and headers with a valid API key."""
    lines = [f"{method} {path} HTTP/1.1", "Host: gateway", AUTHORIZATION.strip()]
    return "\r\n".join([*lines, *headers, "", ""]).encode("latin-1")


def read_to_end(connection: socket.socket) -> bytes:
    """Return all bytes until the peer closes or resets the connection."""
    received = bytearray()
    with suppress(ConnectionResetError):
        while chunk := connection.recv(65_536):
            received += chunk
    return bytes(received)


def exchange(url: str, sent: bytes) -> bytes:
    """Send bytes and return all bytes received until the connection ends."""
    with connect(url) as connection:
        with suppress(ConnectionError):
            connection.sendall(sent)
        return read_to_end(connection)


def read_response(received: bytes) -> tuple[int, dict[str, Any]]:
    """Return the status and the typed error of a raw response."""
    head, _, body = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), dict(json.loads(body)["error"])
