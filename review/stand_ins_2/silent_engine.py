"""An engine whose machine stops without a word, and is back after a while."""

from __future__ import annotations

import os
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.engine_standin import EngineStandIn


class SilentMachine:
    """Keeps an engine's address and connections silent until it is back.

    Nothing that was sent gets a response, and the kernel drops opening packets, since
    the backlog is full.
    """

    def __init__(self, engine: EngineStandIn) -> None:
        self._engine = engine
        server = engine._server
        assert server is not None
        self._listening = socket.socket(fileno=os.dup(server.sockets[0].fileno()))
        server.close()
        self._listening.listen(0)
        self._fillers: list[socket.socket] = []
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect((engine.host, engine.port))
            self._fillers.append(filler)

    def end(self) -> None:
        """The machine is back: it knows no connection of before, and resets them."""
        for filler in self._fillers:
            filler.close()
        self._listening.close()
        self._engine.crash()
