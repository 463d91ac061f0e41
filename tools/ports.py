"""Finds free loopback ports for processes that tests and tools start."""

from __future__ import annotations

import os
import secrets
import socket
from functools import cache

HOST = "127.0.0.1"
# Below the system's ephemeral ports: an outgoing connection could use a port from those
# before the process that should listen on it has started.
LISTEN_PORTS = range(12_000, 32_000)
# Test files run in parallel processes, each of which uses its own slice of the ports.
SLICES = 40
SLICE_SIZE = len(LISTEN_PORTS) // SLICES


class PortSlice:
    """Ports that no other process of these tools uses while this one runs."""

    def __init__(self, ports: range, guard: socket.socket | None) -> None:
        self._ports = ports
        # Listens on the port before them for as long as the slice is in use.
        self._guard = guard
        self._assigned: set[int] = set()

    @classmethod
    def reserve(cls, first: int) -> PortSlice:
        """Return the first slice from number ``first`` on that nobody has reserved."""
        for offset in range(SLICES):
            start = (first + offset) % SLICES * SLICE_SIZE
            ports = LISTEN_PORTS[start : start + SLICE_SIZE]
            guard = _listen(ports[0])
            if guard is not None:
                return cls(ports[1:], guard)
        start = first % SLICES * SLICE_SIZE
        return cls(LISTEN_PORTS[start + 1 : start + SLICE_SIZE], None)

    def find_port(self) -> int:
        """Return a free port that was not returned before.

        A free port may already be assigned to a process that has not started yet.
        """
        while True:
            port = secrets.choice(self._ports)
            if port in self._assigned:
                continue
            self._assigned.add(port)
            with socket.socket() as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
                return port


def find_port() -> int:
    """Return a free loopback port that was not returned before."""
    return _reserve_own_slice().find_port()


@cache
def _reserve_own_slice() -> PortSlice:
    return PortSlice.reserve(os.getpid())


def _listen(port: int) -> socket.socket | None:
    """Return a socket that listens on ``port``, or None if another one does."""
    guard = socket.socket()
    try:
        guard.bind((HOST, port))
        guard.listen()
    except OSError:
        guard.close()
        return None
    return guard
