"""Parses a caller's HTTP request into a ``Call``."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from bamboopier_configuration.model import DEFAULT_MAX_BODY_BYTES

from .body import read_body
from .call import Call
from .errors import CallerError, ErrorCode, quote
from .headers import list_request_headers
from .paths import check_path, check_query, is_idempotent

if TYPE_CHECKING:
    from aiohttp import web

    from bamboopier_configuration.directory import Directory
    from bamboopier_configuration.model import Service, Workspace

    from .prompt import PromptReader

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
TIMEOUT_HEADER = "X-Timeout-Seconds"
PRIORITY_HEADER = "X-Priority"
MAX_IDEMPOTENCY_KEY_LENGTH = 255
MAX_TIMEOUT_SECONDS = 3600.0
# Others, such as CONNECT and TRACE, concern the connection itself.
PLAIN_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
PRIORITIES = range(-10, 11)


class CallReader:
    """Authenticates, checks and parses requests against the active configuration."""

    def __init__(self, prompts: PromptReader, body_timeout: float) -> None:
        self._prompts = prompts
        self._body_timeout = body_timeout

    async def read_model_call(
        self, request: web.Request, request_id: str, directory: Directory
    ) -> Call:
        """Read a completion or chat request."""
        workspace = authenticate(request, directory)
        _check_encoding(request)
        # Only the model in the body determines the service, so the largest limit of the
        # workspace's services applies until the body has been read.
        limit = _find_max_body_bytes(directory, workspace)
        body = await read_body(request, limit, self._body_timeout)
        model = self._prompts.read(request.path, body, workspace.name, directory)
        service = _find_model_service(directory, workspace, model.model)
        _check_size(body, service)
        return Call(
            request_id=request_id,
            workspace=workspace.name,
            service=service.name,
            method="POST",
            path=request.path,
            headers=(("Content-Type", "application/json"),),
            body=body,
            deadline=_parse_deadline(request, service),
            priority=_parse_priority(request),
            # Generating text again has no side effects, unless the operator declared
            # the route otherwise.
            idempotent=is_idempotent(service, "POST", request.path, default=True),
            idempotency_key=_parse_idempotency_key(request),
            model=model,
        )

    async def read_plain_call(
        self, request: web.Request, request_id: str, directory: Directory
    ) -> Call:
        """Read a call of a plain service, ``/services/NAME/PATH``."""
        workspace = authenticate(request, directory)
        name, raw_path = _split_plain_path(request)
        service = directory.services.get(name)
        if service is None or service.kind != "plain":
            raise CallerError(ErrorCode.NOT_FOUND, f"no plain service {quote(name)}")
        if name not in workspace.services:
            raise CallerError(
                ErrorCode.FORBIDDEN, f"no access to service {quote(name)}"
            )
        if request.method not in PLAIN_METHODS:
            allowed = ", ".join(sorted(PLAIN_METHODS))
            message = f"{quote(request.method)} is not passed on; allowed: {allowed}"
            raise CallerError(ErrorCode.METHOD_NOT_ALLOWED, message)
        path = check_path(raw_path)
        headers = list_request_headers(request.headers.items())
        query = check_query(request.rel_url.raw_query_string)
        limit = service.max_body_bytes
        return Call(
            request_id=request_id,
            workspace=workspace.name,
            service=name,
            method=request.method,
            path=f"{raw_path}?{query}" if query else raw_path,
            headers=headers,
            body=await read_body(request, limit, self._body_timeout),
            deadline=_parse_deadline(request, service),
            priority=_parse_priority(request),
            idempotent=is_idempotent(service, request.method, path, default=False),
            idempotency_key=_parse_idempotency_key(request),
        )


def authenticate(request: web.Request, directory: Directory) -> Workspace:
    """Return the workspace that the request's API key names."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    workspace = directory.find_workspace(key) if scheme.lower() == "bearer" else None
    if workspace is None:
        message = "send a known API key as 'Authorization: Bearer KEY'"
        raise CallerError(ErrorCode.UNAUTHENTICATED, message)
    return workspace


def _split_plain_path(request: web.Request) -> tuple[str, str]:
    """Return the service's name and the raw path of ``/services/NAME/PATH``."""
    _, _, name, *rest = request.rel_url.raw_path.split("/")
    return name, "/" + "/".join(rest)


def _check_encoding(request: web.Request) -> None:
    encoding = request.headers.get("Content-Encoding", "identity").lower()
    if encoding != "identity":
        message = f"Content-Encoding: found {quote(encoding)}; allowed: identity"
        raise CallerError(ErrorCode.UNSUPPORTED_ENCODING, message)


def _find_max_body_bytes(directory: Directory, workspace: Workspace) -> int:
    services = (directory.services.get(name) for name in workspace.services)
    limits = (s.max_body_bytes for s in services if s is not None and s.kind == "model")
    return max(limits, default=DEFAULT_MAX_BODY_BYTES)


def _find_model_service(
    directory: Directory, workspace: Workspace, model: str
) -> Service:
    for name in workspace.services:
        service = directory.services.get(name)
        if service is not None and model in service.models:
            return service
    raise CallerError(ErrorCode.FORBIDDEN, f"no service of yours offers '{model}'")


def _check_size(body: bytes, service: Service) -> None:
    if len(body) > service.max_body_bytes:
        message = f"body of {len(body)} bytes; allowed: {service.max_body_bytes}"
        raise CallerError(ErrorCode.TOO_LARGE, message)


def _parse_deadline(request: web.Request, service: Service) -> float:
    text = request.headers.get(TIMEOUT_HEADER)
    if text is None:
        return time.monotonic() + service.default_timeout_seconds
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds <= MAX_TIMEOUT_SECONDS:
        message = f"{TIMEOUT_HEADER}: found {quote(text)}; allowed: above 0 up to 3600"
        raise CallerError(ErrorCode.BAD_REQUEST, message)
    return time.monotonic() + seconds


def _parse_priority(request: web.Request) -> int:
    text = request.headers.get(PRIORITY_HEADER, "0")
    try:
        priority = int(text)
    except ValueError:
        priority = PRIORITIES.stop
    if priority not in PRIORITIES:
        message = f"{PRIORITY_HEADER}: found {quote(text)}; allowed: -10 to 10"
        raise CallerError(ErrorCode.BAD_REQUEST, message)
    return priority


def _parse_idempotency_key(request: web.Request) -> str:
    keys = request.headers.getall(IDEMPOTENCY_KEY_HEADER, [""])
    key = keys[0]
    if (
        len(keys) > 1
        or len(key) > MAX_IDEMPOTENCY_KEY_LENGTH
        or not (key + " ").isprintable()
    ):
        found = f"{len(keys)} of {len(key)} characters"
        allowed = f"one of up to {MAX_IDEMPOTENCY_KEY_LENGTH} printable characters"
        message = f"{IDEMPOTENCY_KEY_HEADER}: found {found}; allowed: {allowed}"
        raise CallerError(ErrorCode.BAD_REQUEST, message)
    return key
