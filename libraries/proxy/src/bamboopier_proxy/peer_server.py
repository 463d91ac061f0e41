"""HTTP server for calls of other gateways only."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from types import TracebackType
    from typing import Self

    from .settings import Endpoint

    Handler = Callable[[bytes], web.Response]

log = structlog.get_logger()


class PeerServer:
    """Listens while its context is open; each path has a handler of request bodies."""

    def __init__(
        self,
        listen: Endpoint,
        is_gateway: Callable[[str], bool],
        handlers: Mapping[str, Handler],
    ) -> None:
        self._listen = listen
        # Returns whether a host belongs to a registered gateway.
        self._is_gateway = is_gateway
        self._handlers = handlers
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        manager = web.Server(self._answer, access_log=None)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            manager, self._listen.host, self._listen.port
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._server is not None:
            self._server.close()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self._is_gateway(request.remote or ""):
            # A configuration contains keys.
            log.warning("peer refused", sender=request.remote, path=request.path)
            return web.Response(status=403)
        handler = self._handlers.get(request.path)
        if handler is None:
            return web.Response(status=404)
        return handler(await request.read())
