"""HTTP server for calls of other gateways only."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from aiohttp import web

from bamboopier_daemon.http.limits import Places
from bamboopier_daemon.http.server import LimitedServer
from bamboopier_daemon.line_limit import LineLimit
from bamboopier_gateway.errors import quote

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from types import TracebackType
    from typing import Self

    from .settings import Endpoint

    Handler = Callable[[bytes], web.Response]

# Other gateways get configurations of up to a megabyte, several at a time.
PLACES = Places(connections=64, input_bytes=512 * 1024, output_bytes=8 * 1024 * 1024)

log = structlog.get_logger()


class PeerServer:
    """Listens while its context is open; each path has a handler of request bodies."""

    def __init__(
        self,
        listen: Endpoint,
        is_gateway: Callable[[str], bool],
        handlers: Mapping[str, Handler],
    ) -> None:
        # Returns whether a host belongs to a registered gateway.
        self._is_gateway = is_gateway
        self._handlers = handlers
        self._lines = LineLimit()
        self._server = LimitedServer(
            "peers",
            web.Server(self._answer, access_log=None),
            listen.host,
            listen.port,
            places=PLACES,
        )

    async def __aenter__(self) -> Self:
        await self._server.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._server.__aexit__(kind, error, traceback)

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self._is_gateway(request.remote or ""):
            # A configuration contains keys.
            count = self._lines.count("refused")
            if count:
                log.warning(
                    "peer refused",
                    sender=request.remote,
                    path=quote(request.path),
                    count=count,
                )
            return web.Response(status=403)
        handler = self._handlers.get(request.path)
        if handler is None:
            return web.Response(status=404)
        return handler(await request.read())
