"""Walks through a JSON document and finds where its values end, without decoding them.

Guards against a response of which one value cannot be decoded: a decoder rejects the
response as a whole. Values may be nested without limit and strings may hold any bytes.

The work is bounded: what is passed over is searched for quotes and counted for brackets
by the byte, a slice at a time, and other tasks run between two slices.
"""

from __future__ import annotations

import asyncio
import re
from itertools import accumulate
from typing import TYPE_CHECKING

from bamboopier_configuration.errors import BamboopierError

if TYPE_CHECKING:
    from collections.abc import Iterator

# Bytes that are scanned before other tasks run: a millisecond or two on a weak
# processor if they are quotes and brackets alone.
SLICE_BYTES = 16 * 1024
# Most values are short, and a slice is scanned as a whole.
FIRST_SLICE_BYTES = 512

_SPACE = re.compile(rb"[ \t\r\n]*+")
_SCALAR_END = re.compile(rb'[\s,:"\[\]{}]')
_BRACKET = re.compile(rb"[\[\]{}]")
_NO_BRACKETS = bytes(byte for byte in range(256) if byte not in b"[]{}")
# What may stand between strings. Of words, the letters are left.
_NO_LETTERS = b" \t\r\n,:[]{}0123456789+-."
_WORDS = re.compile(rb"true|false|null|NaN|Infinity")
_MAX_WORD_BYTES = 8
# Change of the depth of nesting by byte.
_DEPTH_STEPS = [(byte in b"[{") - (byte in b"]}") for byte in range(256)]


class ScanError(BamboopierError):
    """The bytes are no JSON, and nothing behind them can be told apart."""


class Span:
    """The place of a value in its document."""

    __slots__ = ("begin", "end")

    def __init__(self, begin: int, end: int) -> None:
        self.begin = begin
        self.end = end

    def __len__(self) -> int:
        return self.end - self.begin


class JsonScanner:
    """A position in a document that moves from value to value."""

    __slots__ = ("_document", "_end", "_scanned", "position")

    def __init__(self, document: bytes, span: Span | None = None) -> None:
        self._document = document
        # Of the next byte; it may be set back to that of an earlier value.
        self.position = span.begin if span is not None else 0
        self._end = span.end if span is not None else len(document)
        # Bytes since other tasks have run.
        self._scanned = 0

    def read(self, span: Span) -> bytes:
        """Return the bytes of a value."""
        return self._document[span.begin : span.end]

    def enter(self, bracket: bytes) -> None:
        """Move into the array or object that begins here."""
        if self._peek() != bracket:
            raise ScanError(f"no {bracket.decode()!r} at byte {self.position}")
        self.position += 1

    async def find_key(self) -> Span | None:
        """Move to the next value of an object and return its key, quotes included.

        None if the object ends here; the position is then behind it.
        """
        if not self._find_next(b"}"):
            return None
        if self._peek() != b'"':
            raise ScanError(f"no key at byte {self.position}")
        key = await self.skip_value()
        if self._peek() != b":":
            raise ScanError(f"no value at byte {self.position}")
        self.position += 1
        return key

    def find_element(self) -> bool:
        """Move to the next element of an array; False, and behind it, at its end."""
        return self._find_next(b"]")

    async def skip_value(self) -> Span:
        """Move behind the value that begins here and return its place."""
        first = self._peek()
        begin = self.position
        if first == b'"':
            await self._skip_string()
        elif first in (b"{", b"["):
            await self._skip_container()
        else:
            await self._skip_scalar()
        await self._pause(self.position - begin)
        return Span(begin, self.position)

    async def skip_short_value(self, max_bytes: int) -> Span | None:
        """Move behind the value that begins here if that is near; else stay."""
        end = min(self.position + max_bytes, self._end)
        scanner = JsonScanner(self._document, Span(self.position, end))
        try:
            span = await scanner.skip_value()
        except ScanError:
            return None
        self.position = span.end
        await self._pause(len(span))
        return span

    def _find_next(self, end: bytes) -> bool:
        """Move behind a comma to what follows; False if ``end`` does."""
        found = self._peek()
        if found == b",":
            self.position += 1
            found = self._peek()
        if found == end:
            self.position += 1
            return False
        return True

    def _peek(self) -> bytes:
        """Move behind white space and return the byte there; empty at the end."""
        space = _SPACE.match(self._document, self.position, self._end)
        if space is not None:
            self.position = space.end()
        return self._document[self.position : min(self.position + 1, self._end)]

    async def _skip_string(self) -> None:
        self.position += 1
        for begin, text in self._slice():
            quote = text.find(b'"')
            if quote >= 0:
                self.position = begin + quote + 1
                return
            await self._pause(len(text))
        raise ScanError("a string does not end")

    async def _skip_container(self) -> None:
        depth, in_string = 0, False
        for begin, text in self._slice():
            parts = text.split(b'"')
            outside = b"".join(parts[in_string::2])
            brackets = outside.translate(None, _NO_BRACKETS)
            steps = map(_DEPTH_STEPS.__getitem__, brackets)
            closing = brackets.count(b"]") + brackets.count(b"}")
            if depth <= closing and -depth in accumulate(steps):
                end = _find_end(parts, depth, in_string=in_string)
                self.position = begin + end
                return
            _check_outside(outside)
            depth += len(brackets) - 2 * closing
            in_string ^= len(parts) % 2 == 0
            await self._pause(len(text))
        raise ScanError("an array or object does not end")

    async def _skip_scalar(self) -> None:
        begin = self.position
        while True:
            limit = min(self.position + SLICE_BYTES, self._end)
            end = _SCALAR_END.search(self._document, self.position, limit)
            self.position = end.start() if end is not None else limit
            if end is not None or limit == self._end:
                break
            await self._pause(SLICE_BYTES)
        if self.position == begin:
            raise ScanError(f"no value at byte {begin}")

    def _slice(self) -> Iterator[tuple[int, bytes]]:
        """Yield what follows in growing slices with their positions.

        What is escaped in a string is replaced by as many other bytes, and no slice
        begins within an escape, so that each quote in it begins or ends a string. None
        begins within a word either.
        """
        begin, size = self.position, FIRST_SLICE_BYTES
        while begin < self._end:
            end = min(begin + size, self._end)
            longest = min(end + _MAX_WORD_BYTES, self._end)
            while end < longest and self._document[end - 1 : end + 1].isalpha():
                end += 1
            text = self._document[begin:end]
            backslashes = len(text) - len(text.rstrip(b"\\"))
            if backslashes % 2 and end < self._end:
                end += 1
                text = self._document[begin:end]
            yield begin, text.replace(b"\\\\", b"__").replace(b'\\"', b"__")
            begin, size = end, min(2 * size, SLICE_BYTES)

    async def _pause(self, scanned: int) -> None:
        self._scanned += scanned
        if self._scanned >= SLICE_BYTES:
            self._scanned = 0
            await asyncio.sleep(0)


def _find_end(parts: list[bytes], depth: int, *, in_string: bool) -> int:
    """Return the offset behind the bracket that closes the value.

    ``parts`` are those between quotes, in strings and outside in turn.
    """
    offset, outside = 0, bytearray()
    for part in parts:
        if not in_string:
            for bracket in _BRACKET.finditer(part):
                depth += _DEPTH_STEPS[bracket[0][0]]
                if depth == 0:
                    _check_outside(bytes(outside) + part[: bracket.start()])
                    return offset + bracket.end()
            outside += part
        in_string = not in_string
        offset += len(part) + 1
    raise ScanError("an array or object does not end")


def _check_outside(text: bytes) -> None:
    """Raise an error if ``text`` cannot stand outside strings.

    Guards against a string without an end: the next quote would end it, and what is a
    string and what is not would be taken for one another until the next such string,
    with all values between them.
    """
    letters = text.translate(None, _NO_LETTERS)
    if letters and _WORDS.sub(b"", letters).strip(b"eE"):
        raise ScanError("text outside strings")
