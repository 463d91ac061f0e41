"""Selects which of a caller's headers are forwarded to a target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bamboopier_daemon.headers import drop_hop_headers

from .errors import CallerError, ErrorCode

if TYPE_CHECKING:
    from collections.abc import Iterable

# The caller's own credentials are not forwarded; the target authenticates bamboopier.
PRIVATE_HEADERS = frozenset({"authorization", "cookie", "idempotency-key"})
# These would make a target run another method or route than the one checked here.
OVERRIDE_HEADERS = frozenset(
    {"x-http-method-override", "x-http-method", "x-method-override"}
    | {"x-original-url", "x-rewrite-url"}
)


def list_request_headers(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Return the headers to forward to a target; raises ``CallerError``."""
    forwarded = drop_hop_headers(headers)
    for name, value in forwarded:
        if name.lower() in OVERRIDE_HEADERS:
            message = f"the header {name} is not allowed: it would change the route"
            raise CallerError(ErrorCode.BAD_REQUEST, message)
        if not value.isprintable() and not value.replace("\t", " ").isprintable():
            message = f"the header {name} is not text in UTF-8"
            raise CallerError(ErrorCode.BAD_REQUEST, message)
    return tuple((n, v) for n, v in forwarded if n.lower() not in PRIVATE_HEADERS)
