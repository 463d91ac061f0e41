"""Cuts a stream of events at event ends, and knows the last event's id."""

from __future__ import annotations

END = b"\n\n"
ID = b"id:"


class EventSplitter:
    """Holds back the part of an event that has arrived.

    Failure answered: a target breaks off in the middle of an event. Had that part gone
    to the caller, what another target goes on with would be joined to it.
    """

    __slots__ = ("_rest", "last_event")

    def __init__(self) -> None:
        self._rest = b""
        self.last_event: str | None = None

    @property
    def rest(self) -> bytes:
        """Return what is held back."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Take a piece of the stream; return the whole events."""
        data = self._rest + data
        end = data.rfind(END)
        if end < 0:
            self._rest = data
            return b""
        whole, self._rest = data[: end + len(END)], data[end + len(END) :]
        self._note_last(whole)
        return whole

    def _note_last(self, whole: bytes) -> None:
        start = whole.rfind(ID)
        while start > 0 and whole[start - 1 : start] != b"\n":
            start = whole.rfind(ID, 0, start)
        if start >= 0:
            line = whole[start + len(ID) : whole.find(b"\n", start)]
            self.last_event = line.strip().decode("latin-1")
