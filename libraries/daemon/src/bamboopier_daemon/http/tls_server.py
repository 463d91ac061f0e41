"""Accepts connections with TLS, whose handshakes have places like other connections."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from typing import TYPE_CHECKING

import structlog

from .server import BACKLOG, open_listening_socket

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

    from .connection import HttpConnection
    from .connection_table import ConnectionTable
    from .limits import Problem

    MakeConnection = Callable[[], HttpConnection]

# Between two tries to accept while the process has no descriptor left.
ACCEPT_RETRY_SECONDS = 0.1


log = structlog.get_logger()


class TlsServer:
    """Listens from its creation until ``close``.

    asyncio's own server tells of a connection once its handshake is complete: clients
    that never complete it would be neither counted nor closed.
    """

    def __init__(
        self,
        host: str,
        port: int,
        context: ssl.SSLContext,
        handshake_seconds: float,
        table: ConnectionTable,
        make_connection: MakeConnection,
    ) -> None:
        self._context = context
        self._handshake_seconds = handshake_seconds
        self._table = table
        self._make_connection = make_connection
        self._listening = open_listening_socket(host, port)
        self._listening.listen(BACKLOG)
        self._task = asyncio.create_task(self._accept())

    def close(self) -> None:
        """Refuse new connections; the open ones stay."""
        self._task.cancel()
        self._listening.close()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = await loop.sock_accept(self._listening)
            except OSError as error:
                log.warning("connection not accepted", reason=error.strerror)
                await asyncio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            handshake = TlsHandshake(accepted, self._table)
            if self._table.add(handshake):
                handshake.start(
                    self._context, self._handshake_seconds, self._make_connection
                )
            else:
                accepted.close()


class TlsHandshake:
    """A connection until its handshake is complete; it has a place meanwhile."""

    has_begun = False
    answered = 0
    input_bytes = 0
    request_bytes = 0
    is_active = False

    def __init__(self, accepted: socket.socket, table: ConnectionTable) -> None:
        self._accepted = accepted
        self._table = table
        self._task: asyncio.Task[None] | None = None
        self.since = time.monotonic()

    def start(
        self, context: ssl.SSLContext, seconds: float, make_connection: MakeConnection
    ) -> None:
        """Begin the handshake."""
        self._task = asyncio.create_task(self._run(context, seconds, make_connection))

    def measure_pace(self, now: float) -> float:
        """Return 0: nothing of a request has arrived."""
        return 0.0

    def continue_reading(self) -> None:
        """Do nothing: it waits for no turn."""

    def give_way(self, problem: Problem) -> None:
        """Close at once.

        The handshake fails then by itself. Cancelling its task instead, which owns the
        transport only in part, ends the process in uvloop.
        """
        with suppress(OSError):
            self._accepted.shutdown(socket.SHUT_RDWR)

    async def _run(
        self, context: ssl.SSLContext, seconds: float, make_connection: MakeConnection
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(
                make_connection,
                self._accepted,
                ssl=context,
                ssl_handshake_timeout=seconds,
            )
        except OSError as error:
            # A client without TLS, or one that has left.
            log.debug("handshake failed", reason=str(error)[:80])
        finally:
            self._table.remove(self)
