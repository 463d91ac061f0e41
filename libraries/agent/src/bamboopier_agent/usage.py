"""Reads the token counts that an engine reports at the end of its response."""

from __future__ import annotations

import msgspec

# Enough for the usage object, which is in the last event or at the end of the document.
TAIL_BYTES = 4096
_USAGE_KEY = b'"usage":'


class _PromptDetails(msgspec.Struct):
    cached_tokens: int = 0


class Usage(msgspec.Struct):
    """Token counts of one response."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails = msgspec.field(
        default_factory=_PromptDetails
    )

    @property
    def cached_tokens(self) -> int:
        """Return the number of prompt tokens that needed no prefill."""
        return self.prompt_tokens_details.cached_tokens


class UsageReader:
    """Keeps the last ``TAIL_BYTES`` of a body and parses the usage in them."""

    __slots__ = ("_tail",)

    def __init__(self) -> None:
        self._tail = b""

    def add(self, chunk: bytes) -> None:
        """Append the next chunk of the body."""
        self._tail = (self._tail + chunk)[-TAIL_BYTES:]

    def read(self) -> Usage:
        """Return the usage; all counts are zero if the engine reported none."""
        position = self._tail.rfind(_USAGE_KEY)
        if position < 0:
            return Usage()
        document = _cut_object(self._tail[position + len(_USAGE_KEY) :])
        try:
            return msgspec.json.decode(document, type=Usage)
        except msgspec.MsgspecError:
            return Usage()


def _cut_object(text: bytes) -> bytes:
    """Return the first JSON object at the start of ``text``."""
    depth = 0
    for index, byte in enumerate(text):
        if byte == ord("{"):
            depth += 1
        elif byte == ord("}"):
            depth -= 1
            if depth == 0:
                return text[: index + 1].strip()
    return b""
