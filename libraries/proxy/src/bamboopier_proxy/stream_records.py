"""Remembers for gateways where streams began, and answers those that ask.

Guards against streams that nobody remembers after all gateways ended at once, as in a
power loss of their machines: their callers take them up, and any version could have
begun them. The process beside an engine is not a gateway and survives.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bamboopier_daemon.clock import read_clock
from bamboopier_decisions.forwarding.stream_origins import StreamOrigin, StreamOrigins

from .hints import StreamAnswer, StreamHint, StreamQuery
from .settings import Endpoint

if TYPE_CHECKING:
    from collections.abc import Callable

    from .hints import Hint


class StreamRecords:
    """The origins of streams that gateways told this process."""

    def __init__(self, send: Callable[[StreamAnswer, Endpoint], None]) -> None:
        self._send = send
        self._origins = StreamOrigins()
        # The longest timeout of the routes of these streams, in seconds.
        self._longest = 0.0

    def receive(self, hint: Hint, sender: tuple[str, int]) -> None:
        """Handle a message of a gateway, if it concerns streams."""
        match hint:
            case StreamHint():
                self._record(hint)
            case StreamQuery():
                self._answer(hint, Endpoint(*sender))
            case _:
                pass

    def _record(self, hint: StreamHint) -> None:
        if hint.timeout > self._longest:
            self._longest = hint.timeout
            self._origins.set_longest_stream(hint.timeout)
        origin = StreamOrigin(hint.service, hint.software_version)
        self._origins.record(read_clock(), hint.key, origin)

    def _answer(self, query: StreamQuery, sender: Endpoint) -> None:
        """Answer what was told; what could be concluded here is no knowledge."""
        origin = self._origins.find(read_clock(), query.key)
        if origin is None:
            return
        answer = StreamAnswer(query.nonce, origin.service, origin.software_version)
        self._send(answer, sender)
