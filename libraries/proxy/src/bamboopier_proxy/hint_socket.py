"""Sends and receives hints on one UDP port."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self, cast

import structlog

from bamboopier_daemon.line_limit import LineLimit

from .hints import Hint, decode, encode

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from .settings import Endpoint

    Receive = Callable[[Hint, tuple[str, int]], None]

log = structlog.get_logger()


class HintSocket(asyncio.DatagramProtocol):
    """A UDP socket for hints, open while its context is."""

    def __init__(self, host: str, port: int, receive: Receive) -> None:
        self._host = host
        self._port = port
        self._receive = receive
        self._transport: asyncio.DatagramTransport | None = None
        self._lines = LineLimit()

    async def __aenter__(self) -> Self:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, self._port)
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._transport is not None:
            self._transport.close()

    def send(self, hint: Hint, to: Endpoint) -> None:
        """Send a hint without waiting for its delivery."""
        if self._transport is None or self._transport.is_closing():
            return
        try:
            self._transport.sendto(encode(hint), (to.host, to.port))
        except (OSError, ValueError) as error:
            # It is lost, as others are on their way: the sender has to live with that.
            log.debug("hint not sent", to=str(to)[:80], reason=str(error)[:80])

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and pass the hint to the receiver."""
        hint = decode(data)
        if hint is None:
            count = self._lines.count("invalid")
            if count:
                log.warning(
                    "invalid datagram dropped",
                    sender=addr[0],
                    size=len(data),
                    count=count,
                )
            return
        self._receive(hint, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a peer does not listen: hints are allowed to be lost."""
        log.debug("hint not delivered", error=str(exc))
