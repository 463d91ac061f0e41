"""The link between all gateways and one engine; it can be cut for a while.

While it is cut nothing passes, and opening packets are dropped. What was under way,
the end of a connection included, arrives once it has healed, as the kernels of both
sides send it again. While the engine's process is down its address refuses connections.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

BACKLOG = 128


class Link:
    """Passes bytes between gateways and the address of an engine."""

    def __init__(self, host: str, target: tuple[str, int]) -> None:
        self.host, self.target = host, target
        self.port = 0
        self._heals = asyncio.Event()
        self._heals.set()
        self._listening: socket.socket | None = None
        self._fillers: list[socket.socket] = []
        self._accepting: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return where gateways reach the engine."""
        return f"{self.host}:{self.port}"

    def listen(self) -> None:
        """Accept connections: the engine's process runs."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((self.host, self.port))
        listening.listen(BACKLOG)
        listening.setblocking(False)
        self.port = listening.getsockname()[1]
        self._listening = listening
        self._accepting = asyncio.create_task(self._accept(listening))

    def refuse(self) -> None:
        """Refuse connections: the engine's process is down."""
        if self._accepting is not None:
            self._accepting.cancel()
        if self._listening is not None:
            self._listening.close()
        self._listening = None

    def cut(self) -> None:
        """Let nothing pass; with a full backlog the kernel drops opening packets."""
        self._heals.clear()
        assert self._listening is not None and self._accepting is not None
        self._accepting.cancel()
        self._listening.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect((self.host, self.port))
            self._fillers.append(filler)

    def heal(self) -> None:
        """Let what was held pass, to the process that listens there now."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        assert self._listening is not None
        self._listening.listen(BACKLOG)
        self._accepting = asyncio.create_task(self._accept(self._listening))
        self._heals.set()

    def close(self) -> None:
        """End it."""
        self.refuse()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(listening)
            task = asyncio.create_task(self._pass(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pass(self, connection: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=connection)
        try:
            to_reader, to_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(reader, to_writer), self._pump(to_reader, writer)
        )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass bytes on, then the end, or the reset, of the connection."""
        try:
            while True:
                data = await reader.read(65536)
                await self._heals.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            await self._heals.wait()
            writer.transport.abort()
            return
        writer.close()
