"""Crowds of clients that break the limits, and what a process holds meanwhile.

Only tests use this module. All traffic stays on loopback, bounded in bytes and time.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Self

if TYPE_CHECKING:
    import ssl
    from types import TracebackType

# For which a crowd sends at most, and seconds between two samples of a process.
SEND_SECONDS = 6.0
SAMPLE_SECONDS = 0.05
CONNECT_SECONDS = 5.0
DATAGRAMS = 40_000
COME_BACK_SECONDS = 0.01
_KILOBYTE = 1024
_LISTENING_STATE = "0A"
# Lets the kernel forget the peak of a process that an earlier crowd has met.
_RESET_PEAK = "5"


@dataclass(frozen=True)
class Behaviour:
    """What one client sends before it stops and stays connected."""

    first: bytes = b""
    # Sent again and again after it, until ``max_bytes`` were sent in all.
    piece: bytes = b""
    max_bytes: int = 0
    # Seconds between two pieces.
    pause: float = 0.0
    # Whether it connects again when it is closed, until time is up.
    comes_back: bool = False
    # Size of the socket's receive buffer, in bytes, of a client that reads nothing.
    receive_buffer: int = 0


class Crowd:
    """Clients with the same behaviour, connected while the context is open."""

    def __init__(
        self,
        address: tuple[str, int],
        count: int,
        behaviour: Behaviour,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._address = address
        self._count = count
        self._behaviour = behaviour
        self._tls = tls
        self._tasks: list[asyncio.Task[None]] = []
        self._finished = [asyncio.Event() for _ in range(count)]

    async def __aenter__(self) -> Self:
        self._tasks = [
            asyncio.create_task(self._run(finished)) for finished in self._finished
        ]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def send_all(self) -> None:
        """Return once each client has sent all or was closed, or time is up."""
        with suppress(TimeoutError):
            async with asyncio.timeout(SEND_SECONDS):
                for finished in self._finished:
                    await finished.wait()

    async def _run(self, finished: asyncio.Event) -> None:
        writer = None
        try:
            while True:
                with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                    writer = await self._connect()
                    await self._send(writer)
                    break
                if not self._behaviour.comes_back:
                    break
                if writer is not None:
                    writer.transport.abort()
                await asyncio.sleep(COME_BACK_SECONDS)
            finished.set()
            await asyncio.Event().wait()
        finally:
            finished.set()
            if writer is not None:
                writer.transport.abort()

    async def _connect(self) -> asyncio.StreamWriter:
        connection = socket.socket()
        connection.setblocking(False)
        if self._behaviour.receive_buffer:
            size = self._behaviour.receive_buffer
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_SECONDS):
            await loop.sock_connect(connection, self._address)
            _, writer = await asyncio.open_connection(
                sock=connection,
                ssl=self._tls,
                server_hostname=self._address[0] if self._tls else None,
            )
        if self._behaviour.receive_buffer:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
        return writer

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        behaviour = self._behaviour
        writer.write(behaviour.first)
        await writer.drain()
        sent = len(behaviour.first)
        while behaviour.piece and sent < behaviour.max_bytes:
            piece = behaviour.piece[: behaviour.max_bytes - sent]
            writer.write(piece)
            await writer.drain()
            sent += len(piece)
            await asyncio.sleep(behaviour.pause)


class ProcessWatch:
    """Samples what a process holds while the context is open.

    Bytes that the kernel has received and the process has not read count as memory.
    """

    def __init__(self, pid: int, addresses: list[tuple[str, int]]) -> None:
        self._folder = Path(f"/proc/{pid}")
        self._local = frozenset(_format_local(*address) for address in addresses)
        self._task: asyncio.Task[None] | None = None
        self._memory = 0
        self.descriptors = 0

    async def __aenter__(self) -> Self:
        (self._folder / "clear_refs").write_text(_RESET_PEAK)
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._task is not None:
            self._task.cancel()

    @property
    def memory(self) -> int:
        """Return the peak in bytes so far."""
        return max(self._memory, self._read_status("VmHWM"))

    async def _run(self) -> None:
        while True:
            with suppress(FileNotFoundError, ProcessLookupError):
                self._sample()
            await asyncio.sleep(SAMPLE_SECONDS)

    def _sample(self) -> None:
        resident = self._read_status("VmRSS")
        self._memory = max(self._memory, resident + self._count_unread())
        count = len(list((self._folder / "fd").iterdir()))
        self.descriptors = max(self.descriptors, count)

    def _read_status(self, name: str) -> int:
        lines = (self._folder / "status").read_text().splitlines()
        line = next((x for x in lines if x.startswith(f"{name}:")), f"{name}: 0")
        return int(line.split()[1]) * _KILOBYTE

    def _count_unread(self) -> int:
        total = 0
        for line in (self._folder / "net" / "tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            if local in self._local and state != _LISTENING_STATE:
                total += int(queues.partition(":")[2], 16)
        return total


def send_datagrams(address: tuple[str, int]) -> None:
    """Send datagrams of several kinds that are no messages of the system."""
    kinds = (b"", b"x", b"x" * 1000, bytes(60_000))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(DATAGRAMS // len(kinds)):
            for datagram in kinds:
                sender.sendto(datagram, address)


def _format_local(host: str, port: int) -> str:
    """Return an address as the kernel's list of connections has it."""
    (number,) = struct.unpack("=I", socket.inet_aton(host))
    return f"{number:08X}:{port:04X}"
