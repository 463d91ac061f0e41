"""Reads a caller's HTTP request into a ``Call``."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING

from .call import Call
from .errors import CallerError, ErrorCode

if TYPE_CHECKING:
    from aiohttp import web

    from bamboopier_configuration.directory import Directory
    from bamboopier_configuration.model import Route, Service, Workspace

    from .prompt import PromptReader

KEY_HEADER = "Idempotency-Key"
TIMEOUT_HEADER = "X-Timeout-Seconds"
PRIORITY_HEADER = "X-Priority"
MAX_KEY_LENGTH = 255
MAX_TIMEOUT_SECONDS = 3600.0
PRIORITIES = range(-10, 11)
# The caller's own credentials stay here; the target is reached as bamboopier.
PRIVATE_HEADERS = frozenset({"authorization", "cookie", "idempotency-key"})


class CallReader:
    """Authenticates, checks and parses requests against the configuration in force."""

    def __init__(self, prompts: PromptReader) -> None:
        self._prompts = prompts

    async def read_model_call(self, request: web.Request, directory: Directory) -> Call:
        """Read a completion or chat request."""
        workspace = authenticate(request, directory)
        body = await request.read()
        model = self._prompts.read(body, workspace.name, directory)
        service = _find_model_service(directory, workspace, model.model)
        _check_size(body, service)
        return Call(
            request_id=uuid.uuid4().hex,
            workspace=workspace.name,
            service=service.name,
            method="POST",
            path=request.path,
            headers=(("Content-Type", "application/json"),),
            body=body,
            deadline=_read_deadline(request, service),
            priority=_read_priority(request),
            # Generating text again changes nothing outside, unless the operator
            # declared the route otherwise.
            idempotent=is_idempotent(service, "POST", request.path, default=True),
            idempotency_key=_read_key(request),
            model=model,
        )

    async def read_plain_call(self, request: web.Request, directory: Directory) -> Call:
        """Read a call of a plain service, ``/services/NAME/PATH``."""
        workspace = authenticate(request, directory)
        name = request.match_info["service"]
        service = directory.services.get(name)
        if service is None or service.kind != "plain":
            raise CallerError(ErrorCode.NOT_FOUND, f"no plain service '{name}'")
        if name not in workspace.services:
            raise CallerError(ErrorCode.FORBIDDEN, f"no access to service '{name}'")
        path = "/" + request.match_info["path"]
        query = f"?{request.query_string}" if request.query_string else ""
        body = await request.read()
        _check_size(body, service)
        return Call(
            request_id=uuid.uuid4().hex,
            workspace=workspace.name,
            service=name,
            method=request.method,
            path=path + query,
            headers=_list_passed_headers(request),
            body=body,
            deadline=_read_deadline(request, service),
            priority=_read_priority(request),
            idempotent=is_idempotent(service, request.method, path, default=False),
            idempotency_key=_read_key(request),
        )


def authenticate(request: web.Request, directory: Directory) -> Workspace:
    """Return the workspace that the request's API key names."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    workspace = directory.find_workspace(key) if scheme.lower() == "bearer" else None
    if workspace is None:
        message = "send a known API key as 'Authorization: Bearer KEY'"
        raise CallerError(ErrorCode.UNAUTHENTICATED, message)
    return workspace


def is_idempotent(service: Service, method: str, path: str, *, default: bool) -> bool:
    """Return what the operator declared for the first route that matches."""
    route: Route
    for route in service.routes:
        if route.method == method and _is_below(path, route.path):
            return route.idempotent
    return default


def _is_below(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


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


def _read_deadline(request: web.Request, service: Service) -> float:
    text = request.headers.get(TIMEOUT_HEADER)
    if text is None:
        return time.monotonic() + service.default_timeout_seconds
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds <= MAX_TIMEOUT_SECONDS:
        message = f"{TIMEOUT_HEADER}: found '{text}'; allowed: above 0 up to 3600"
        raise CallerError(ErrorCode.BAD_REQUEST, message)
    return time.monotonic() + seconds


def _read_priority(request: web.Request) -> int:
    text = request.headers.get(PRIORITY_HEADER, "0")
    try:
        priority = int(text)
    except ValueError:
        priority = PRIORITIES.stop
    if priority not in PRIORITIES:
        message = f"{PRIORITY_HEADER}: found '{text}'; allowed: -10 to 10"
        raise CallerError(ErrorCode.BAD_REQUEST, message)
    return priority


def _read_key(request: web.Request) -> str:
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_LENGTH:
        message = f"{KEY_HEADER}: {len(key)} characters; allowed: {MAX_KEY_LENGTH}"
        raise CallerError(ErrorCode.BAD_REQUEST, message)
    return key


def _list_passed_headers(request: web.Request) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in PRIVATE_HEADERS
    )
