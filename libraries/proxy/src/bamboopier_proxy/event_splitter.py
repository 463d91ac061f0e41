"""Splits a stream of server-sent events at event boundaries."""

from __future__ import annotations

from bamboopier_daemon.headers import decode_header

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
# Maximum bytes of one event. Guards against a target that sends one without end, which
# would fill this process's memory.
MAX_EVENT_BYTES = 256 * 1024


class EventTooLongError(Exception):
    """An event exceeds ``MAX_EVENT_BYTES``."""


class EventSplitter:
    """Buffers an incomplete event until the remainder arrives.

    Guards against events that are joined from two targets: when a target fails in the
    middle of an event, the stream that another target resumes would be appended to the
    part that the caller already has.
    """

    __slots__ = ("_incomplete", "last_event")

    def __init__(self) -> None:
        self._incomplete = b""
        self.last_event: str | None = None

    @property
    def incomplete(self) -> bytes:
        """Return the bytes of the last, incomplete event."""
        return self._incomplete

    def feed(self, data: bytes) -> bytes:
        """Add a chunk of the stream; return the events that are now complete.

        Raises ``EventTooLongError`` if the next event is too long.
        """
        data = self._incomplete + data
        end = data.rfind(EVENT_END)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise EventTooLongError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
            self._incomplete = data
            return b""
        complete_events, self._incomplete = (
            data[: end + len(EVENT_END)],
            data[end + len(EVENT_END) :],
        )
        self._record_last_id(complete_events)
        return complete_events

    def _record_last_id(self, complete_events: bytes) -> None:
        start = complete_events.rfind(ID_FIELD)
        while start > 0 and complete_events[start - 1 : start] != b"\n":
            start = complete_events.rfind(ID_FIELD, 0, start)
        if start >= 0:
            line = complete_events[
                start + len(ID_FIELD) : complete_events.find(b"\n", start)
            ]
            self.last_event = decode_header(line.strip())
