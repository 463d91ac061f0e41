"""A TCP relay for tests: cuts, holds or hooks in where it sees named bytes pass."""

from __future__ import annotations

import socket
import threading
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Self

from fault_matrix import Step
from processes import HOST

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    Address = tuple[str, int]

BUFFER = 65536
# Only reached by a test that would hang.
HANG_SECONDS = 30.0


@dataclass
class Trap:
    """What happens, once, when ``marker`` passes ``step``; shared by several relays."""

    step: Step
    marker: bytes
    # Called by the relay's own thread; nothing passes on the connection meanwhile.
    act: Callable[[Relay], None]
    cut: bool = False
    freeze: bool = False
    # The answer carries the marker too; other bytes come back before it.
    marked_answer: bool = False
    sprung: threading.Event = field(default_factory=threading.Event)
    # Set once ``act`` has been carried out.
    acted: threading.Event = field(default_factory=threading.Event)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def spring(self) -> bool:
        """Say whether this is the first time."""
        with self._lock:
            first = not self.sprung.is_set()
            self.sprung.set()
        return first


class Relay:
    """Passes connections to ``upstream``; close it by leaving the context."""

    def __init__(self, name: str, upstream: Address) -> None:
        self.name = name
        self.upstream = upstream
        self.trap: Trap | None = None
        self._thawed = threading.Event()
        self._thawed.set()
        self._open: set[socket.socket] = set()
        self._closed = False
        self._port = 0
        self._listener = self._listen()

    @property
    def address(self) -> str:
        """Return where the relay listens."""
        return f"{HOST}:{self._port}"

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._closed = True
        self.refuse()

    def set_trap(self, trap: Trap) -> None:
        """Lay a trap; one for connecting also drops the connections there are."""
        self.trap = trap
        if trap.freeze:
            self._thawed.clear()
        if trap.step is Step.CONNECT:
            self.refuse()
            if trap.freeze:
                self._listener = self._listen()

    def heal(self) -> None:
        """Let everything pass again, also what was held."""
        self.trap = None
        self._thawed.set()
        if self._listener.fileno() < 0:
            self._listener = self._listen()

    def wait_until_thawed(self) -> None:
        """Return once what is held may pass."""
        self._thawed.wait(HANG_SECONDS)

    def refuse(self) -> None:
        """Refuse connections from now on and drop those there are."""
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for end in list(self._open):
            _close(end)

    def _listen(self) -> socket.socket:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, self._port))
        listener.listen(64)
        self._port = listener.getsockname()[1]
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()
        return listener

    def _accept(self, listener: socket.socket) -> None:
        with suppress(OSError):
            while True:
                near, _ = listener.accept()
                worker = threading.Thread(target=self._serve, args=(near,), daemon=True)
                worker.start()

    def _serve(self, near: socket.socket) -> None:
        trap = self.trap
        self._open.add(near)
        if trap is not None and trap.step is Step.CONNECT:
            trap.spring()
            trap.acted.set()
            self.wait_until_thawed()
        try:
            far = socket.create_connection(self.upstream)
        except OSError:
            self._open.discard(near)
            near.close()
            return
        self._open.add(far)
        connection = _Connection(self, near, far)
        back = threading.Thread(target=connection.pass_answers, daemon=True)
        back.start()
        connection.pass_requests()
        back.join()
        self._open -= {near, far}
        near.close()
        far.close()


class _Connection:
    """One relayed connection; a thread for each direction."""

    def __init__(self, relay: Relay, near: socket.socket, far: socket.socket) -> None:
        self._relay = relay
        self._near = near
        self._far = far
        # The trap whose marker went up on this connection.
        self._marked: Trap | None = None

    def pass_requests(self) -> None:
        self._pass(self._near, self._far, self._send_request)

    def pass_answers(self) -> None:
        self._pass(self._far, self._near, self._send_answer)

    def _pass(
        self,
        source: socket.socket,
        sink: socket.socket,
        send: Callable[[bytes], None],
    ) -> None:
        with suppress(OSError):
            while data := source.recv(BUFFER):
                send(data)
        for end in (source, sink):
            with suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)

    def _send_request(self, data: bytes) -> None:
        trap = self._relay.trap
        if trap is None or trap.marker not in data:
            self._far.sendall(data)
            return
        if trap.step is Step.REQUEST_SENT:
            self._spring(trap)
        self._marked = trap
        self._far.sendall(data)
        if trap.step is Step.REQUEST_RECEIVED:
            self._spring(trap)

    def _send_answer(self, data: bytes) -> None:
        trap = self._marked
        if trap is not None and trap.step is Step.REQUEST_RECEIVED:
            # The answer must not overtake what happens to its connection.
            trap.acted.wait(HANG_SECONDS)
            if trap.freeze:
                self._relay.wait_until_thawed()
        if trap is None or (trap.marked_answer and trap.marker not in data):
            self._near.sendall(data)
            return
        if trap.step is Step.ANSWER_SENT:
            self._spring(trap)
        if trap.step is Step.ANSWER_PART:
            half = len(data) // 2
            self._near.sendall(data[:half])
            data = data[half:]
            self._spring(trap)
        self._near.sendall(data)

    def _spring(self, trap: Trap) -> None:
        if not trap.spring():
            return
        trap.act(self._relay)
        if trap.cut:
            _close(self._near)
            _close(self._far)
        trap.acted.set()
        if trap.freeze:
            self._relay.wait_until_thawed()
        if trap.cut:
            raise ConnectionAbortedError


def _close(end: socket.socket) -> None:
    with suppress(OSError):
        end.shutdown(socket.SHUT_RDWR)
