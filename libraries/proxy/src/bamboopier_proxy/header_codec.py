"""Interface to the encoding of metadata in headers; an adapter provides it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

    from result import Result

    from .messages import AttemptMetadata, HeaderList, RequestMetadata, ResponseMetadata


class HeaderCodec(Protocol):
    """Parses and formats the headers that this system interprets."""

    def parse_request_headers(
        self, headers: Iterable[tuple[str, str]]
    ) -> Result[RequestMetadata, str]:
        """Return the metadata in a caller's headers, or why they are invalid."""
        ...

    def format_target_headers(self, metadata: AttemptMetadata) -> HeaderList:
        """Return the headers that the gateway sets on a request to a target."""
        ...

    def parse_response_headers(
        self, status: int, headers: Iterable[tuple[str, str]]
    ) -> ResponseMetadata:
        """Return the metadata in a target's response."""
        ...

    def get_request_id_header(self) -> str:
        """Return the name of the header that carries a request's id."""
        ...
