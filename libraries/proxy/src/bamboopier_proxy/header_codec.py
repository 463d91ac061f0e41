"""How requests and answers are marked on the wire; an adapter provides it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable

    from result import Result

    from .messages import AttemptMetadata, HeaderList, RequestMetadata, ResponseMetadata


class HeaderCodec(Protocol):
    """Reads and writes the headers that carry meaning."""

    def parse_request_headers(
        self, headers: Iterable[tuple[str, str]]
    ) -> Result[RequestMetadata, str]:
        """Return what a caller's headers say, or what is wrong with them."""
        ...

    def format_target_headers(self, metadata: AttemptMetadata) -> HeaderList:
        """Return the headers that this system sets on a request to a target."""
        ...

    def parse_response_headers(
        self, status: int, headers: Iterable[tuple[str, str]]
    ) -> ResponseMetadata:
        """Return what a target's answer says."""
        ...

    def get_request_id_header(self) -> str:
        """Return the name of the header that carries a request's id."""
        ...
