"""A TCP relay before one agent, which may hold back or cut what passes."""

from __future__ import annotations

import asyncio
from contextlib import suppress

HOST = "127.0.0.1"
BUFFER = 65536


class Relay:
    """Passes connections to an agent until it is cut, and refuses them from then on."""

    def __init__(self, port: int) -> None:
        self._port = port
        # Connections are taken, and nothing passes on them, until this is set.
        self.may_pass = asyncio.Event()
        self.may_pass.set()
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server

    async def start(self) -> str:
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        """Refuse connections and drop those there are."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        await self.may_pass.wait()
        far_reader, far_writer = await asyncio.open_connection(HOST, self._port)
        self._writers.append(far_writer)
        await asyncio.gather(
            self._pass(reader, far_writer), self._pass(far_reader, writer)
        )

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError):
            while data := await reader.read(BUFFER):
                writer.write(data)
        writer.transport.abort()
