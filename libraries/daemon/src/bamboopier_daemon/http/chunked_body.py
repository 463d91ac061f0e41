"""Takes the framing off one chunked body."""

from __future__ import annotations

import httptools

# What each body ends with: the end of a line, and an empty line.
_END = b"\n\r\n"
# Any head: only what follows it is parsed here.
_HEAD = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


class InvalidChunkError(Exception):
    """This is not a chunked body."""


class ChunkedBody:
    """Decodes a chunked body piece by piece, and finds its end.

    A chunk costs little here, however small: clients choose its size. Trailers and
    extensions are dropped.
    """

    __slots__ = ("_parser", "_pieces", "_tail", "body_bytes", "complete", "wire_bytes")

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        # The last bytes parsed, in which the end may begin.
        self._tail = b""
        self.complete = False
        # Bytes so far without and with their framing.
        self.body_bytes = 0
        self.wire_bytes = 0
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(_HEAD)

    def on_body(self, piece: bytes) -> None:
        """Collect a piece; called by the parser."""
        self._pieces.append(piece)

    def on_message_complete(self) -> None:
        """Record the end; called by the parser."""
        self.complete = True

    def decode(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the body in ``data``, and what follows its end.

        Raises ``InvalidChunkError``. The parser does not tell where a body ends, so it
        gets the bytes up to each place where it may, and then the next ones.
        """
        window = self._tail + data
        position = len(self._tail)
        searched = 0
        while position < len(window) and not self.complete:
            found = window.find(_END, searched)
            end = found + len(_END) if found >= 0 else len(window)
            searched = found + 1
            if end > position:
                self._parse(window[position:end])
                position = end
        self._tail = window[max(0, position - 2) : position]
        self.wire_bytes += len(data) - (len(window) - position)
        body = b"".join(self._pieces)
        self._pieces.clear()
        self.body_bytes += len(body)
        return body, window[position:]

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise InvalidChunkError(str(error)) from error
