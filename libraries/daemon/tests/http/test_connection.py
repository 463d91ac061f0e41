"""Connections of clients that are closed before they are served."""

from __future__ import annotations

import asyncio
import socket
import unittest
from unittest import mock

from bamboopier_daemon.http.connection import set_dead_peer_timeout


class SocketOptionTests(unittest.TestCase):
    def test_a_connection_that_was_closed_at_once_raises_nothing(self) -> None:
        """Guards against a closed connection that is counted, but never was open."""
        connection = socket.socket()
        connection.close()
        transport = mock.Mock(spec=asyncio.BaseTransport)
        transport.get_extra_info.return_value = connection
        with mock.patch("bamboopier_daemon.http.connection.log") as log:
            set_dead_peer_timeout(transport, 5.0)
        log.info.assert_called_once()


if __name__ == "__main__":
    unittest.main()
