"""A TCP relay for tests that injects a fault when a marker passes a step."""

from __future__ import annotations

import socket
import threading
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Self

from fault_matrix import Step
from ports import HOST

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    Address = tuple[str, int]

BUFFER_BYTES = 65536
# Maximum wait, so that a failing test cannot hang.
WAIT_TIMEOUT_SECONDS = 30.0


@dataclass
class FaultTrigger:
    """A fault injected once when ``marker`` passes ``step``; relays may share it."""

    step: Step
    marker: bytes
    # Called in the relay's thread; the connection forwards nothing meanwhile.
    action: Callable[[Relay], None]
    cut: bool = False
    freeze: bool = False
    # Whether the response is matched by the marker; other bytes precede it.
    match_response: bool = False
    fired: threading.Event = field(default_factory=threading.Event)
    # Set after ``action`` has returned.
    action_done: threading.Event = field(default_factory=threading.Event)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def fire(self) -> bool:
        """Mark the trigger as fired; return whether this is the first time."""
        with self._lock:
            first = not self.fired.is_set()
            self.fired.set()
        return first


class Relay:
    """Forwards connections to ``upstream``; closed on exit from the context."""

    def __init__(self, name: str, upstream: Address) -> None:
        self.name = name
        self.upstream = upstream
        self.trigger: FaultTrigger | None = None
        self._unfrozen = threading.Event()
        self._unfrozen.set()
        self._open: set[socket.socket] = set()
        self._closed = False
        self._port = 0
        self._listener = self._listen()

    @property
    def address(self) -> str:
        """Return the host and port on which the relay listens."""
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

    def set_trigger(self, trigger: FaultTrigger) -> None:
        """Arm a trigger; one for the connect step also closes open connections."""
        self.trigger = trigger
        if trigger.freeze:
            self._unfrozen.clear()
        if trigger.step is Step.CONNECT:
            self.refuse()
            if trigger.freeze:
                self._listener = self._listen()

    def restore(self) -> None:
        """Disarm the trigger, release held data and accept connections again."""
        self.trigger = None
        self._unfrozen.set()
        if self._listener.fileno() < 0:
            self._listener = self._listen()

    def wait_until_unfrozen(self) -> None:
        """Wait until held data may be forwarded."""
        self._unfrozen.wait(WAIT_TIMEOUT_SECONDS)

    def refuse(self) -> None:
        """Refuse new connections and close the open ones."""
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for endpoint in list(self._open):
            _close(endpoint)

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
                client, _ = listener.accept()
                worker = threading.Thread(
                    target=self._serve, args=(client,), daemon=True
                )
                worker.start()

    def _serve(self, client: socket.socket) -> None:
        trigger = self.trigger
        self._open.add(client)
        if trigger is not None and trigger.step is Step.CONNECT:
            trigger.fire()
            trigger.action_done.set()
            self.wait_until_unfrozen()
        try:
            server = socket.create_connection(self.upstream)
        except OSError:
            self._open.discard(client)
            client.close()
            return
        self._open.add(server)
        connection = _Connection(self, client, server)
        response_thread = threading.Thread(
            target=connection.pass_responses, daemon=True
        )
        response_thread.start()
        connection.pass_requests()
        response_thread.join()
        self._open -= {client, server}
        client.close()
        server.close()


class _Connection:
    """One relayed connection; a thread for each direction."""

    def __init__(
        self, relay: Relay, client: socket.socket, server: socket.socket
    ) -> None:
        self._relay = relay
        self._client = client
        self._server = server
        # The trigger whose marker was sent to the server on this connection.
        self._matched_trigger: FaultTrigger | None = None

    def pass_requests(self) -> None:
        self._pass(self._client, self._server, self._send_request)

    def pass_responses(self) -> None:
        self._pass(self._server, self._client, self._send_response)

    def _pass(
        self,
        source: socket.socket,
        sink: socket.socket,
        send: Callable[[bytes], None],
    ) -> None:
        with suppress(OSError):
            while data := source.recv(BUFFER_BYTES):
                send(data)
        for endpoint in (source, sink):
            with suppress(OSError):
                endpoint.shutdown(socket.SHUT_RDWR)

    def _send_request(self, data: bytes) -> None:
        trigger = self._relay.trigger
        if trigger is None or trigger.marker not in data:
            self._server.sendall(data)
            return
        if trigger.step is Step.REQUEST_SENT:
            self._fire(trigger)
        self._matched_trigger = trigger
        self._server.sendall(data)
        if trigger.step is Step.REQUEST_RECEIVED:
            self._fire(trigger)

    def _send_response(self, data: bytes) -> None:
        trigger = self._matched_trigger
        if trigger is not None and trigger.step is Step.REQUEST_RECEIVED:
            # The response must not be forwarded before the fault is injected.
            trigger.action_done.wait(WAIT_TIMEOUT_SECONDS)
            if trigger.freeze:
                self._relay.wait_until_unfrozen()
        if trigger is None or (trigger.match_response and trigger.marker not in data):
            self._client.sendall(data)
            return
        if trigger.step is Step.ANSWER_SENT:
            self._fire(trigger)
        if trigger.step is Step.ANSWER_PART:
            half = len(data) // 2
            self._client.sendall(data[:half])
            data = data[half:]
            self._fire(trigger)
        self._client.sendall(data)

    def _fire(self, trigger: FaultTrigger) -> None:
        if not trigger.fire():
            return
        trigger.action(self._relay)
        if trigger.cut:
            _close(self._client)
            _close(self._server)
        trigger.action_done.set()
        if trigger.freeze:
            self._relay.wait_until_unfrozen()
        if trigger.cut:
            raise ConnectionAbortedError


def _close(endpoint: socket.socket) -> None:
    with suppress(OSError):
        endpoint.shutdown(socket.SHUT_RDWR)
