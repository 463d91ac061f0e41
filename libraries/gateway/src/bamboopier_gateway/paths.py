"""Normalises the path of a plain call, so that no spelling bypasses a route."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from urllib.parse import unquote_to_bytes

from .errors import CallerError, ErrorCode

if TYPE_CHECKING:
    from bamboopier_configuration.model import Route, Service

_INCOMPLETE_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
# Decoded, these separate or end a path, or a target may decode them a second time.
_FORBIDDEN_CHARACTERS = re.compile(r"[\x00-\x1f\x7f/\\?#]|%[0-9A-Fa-f]{2}")


def check_path(raw_path: str) -> str:
    """Return a raw path decoded for comparison; raises ``CallerError``.

    A target may resolve ``/boxes/../vans``, ``/boxes/%2e%2e/vans`` or ``//vans`` to
    another route than a text comparison here finds. Such a call could pass as
    idempotent and be repeated, so every ambiguous path is refused.
    """
    if not raw_path.startswith("/") or not raw_path.isascii():
        raise _make_bad_path_error(
            "must begin with '/' and be ASCII with percent escapes"
        )
    if _INCOMPLETE_ESCAPE.search(raw_path):
        raise _make_bad_path_error("has an incomplete percent escape")
    segments = raw_path[1:].split("/")
    decoded = [_decode(segment) for segment in segments]
    if "" in decoded[:-1]:
        raise _make_bad_path_error("has an empty segment")
    # Some servers truncate a segment at ';' before they resolve dots.
    if {".", ".."} & {segment.partition(";")[0] for segment in decoded}:
        raise _make_bad_path_error("has a '.' or '..' segment")
    return "/" + "/".join(decoded)


def check_query(raw_query: str) -> str:
    """Return a raw query unchanged; raises ``CallerError`` when it is not ASCII."""
    if not raw_query.isascii():
        raise _make_bad_path_error("has a query that is not ASCII with percent escapes")
    return raw_query


def find_route(service: Service, method: str, path: str) -> Route | None:
    """Return the first declared route at or above a checked path.

    A non-idempotent route matches in any letter case: a target that ignores case would
    run ``/VANS`` as ``/vans``. An idempotent route matches exactly: a missed match only
    costs a retry, whereas a false one would run a non-idempotent call twice.
    """
    route: Route
    for route in service.routes:
        if route.method != method:
            continue
        if route.idempotent and _is_below(path, route.path):
            return route
        if not route.idempotent and _is_below(path.casefold(), route.path.casefold()):
            return route
    return None


def is_idempotent(service: Service, method: str, path: str, *, default: bool) -> bool:
    """Return what the operator declared for the first matching route."""
    route = find_route(service, method, path)
    return default if route is None else route.idempotent


def _is_below(path: str, prefix: str) -> bool:
    prefix = prefix.rstrip("/")
    return path == prefix or path.startswith(prefix + "/")


def _decode(segment: str) -> str:
    try:
        decoded = unquote_to_bytes(segment).decode()
    except UnicodeDecodeError:
        raise _make_bad_path_error("is not UTF-8") from None
    if _FORBIDDEN_CHARACTERS.search(decoded):
        raise _make_bad_path_error(
            "has an escape of a divider, of '%' or of a control character"
        )
    return decoded


def _make_bad_path_error(problem: str) -> CallerError:
    return CallerError(ErrorCode.BAD_PATH, f"the path {problem}")
