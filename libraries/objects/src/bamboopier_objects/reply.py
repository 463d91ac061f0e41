"""A complete response to an HTTP call."""

from __future__ import annotations


class Reply:
    """Status, body and headers of a response that has arrived as a whole."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, body: bytes, headers: dict[str, str]) -> None:
        self.status = status
        self.body = body
        # Names in lower case.
        self.headers = headers
