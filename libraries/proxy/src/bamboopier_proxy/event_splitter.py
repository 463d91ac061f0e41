"""Cuts a stream of events at event ends, and knows the last event's id."""

from __future__ import annotations

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Holds back the part of an event that has arrived.

    Failure answered: a target breaks off in the middle of an event. Had that part gone
    to the caller, what another target goes on with would be joined to it.
    """

    __slots__ = ("_incomplete", "last_event")

    def __init__(self) -> None:
        self._incomplete = b""
        self.last_event: str | None = None

    @property
    def incomplete(self) -> bytes:
        """Return what is held back."""
        return self._incomplete

    def feed(self, data: bytes) -> bytes:
        """Take a piece of the stream; return the whole events."""
        data = self._incomplete + data
        end = data.rfind(EVENT_END)
        if end < 0:
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
            self.last_event = line.strip().decode("latin-1")
