"""Reads the decisions that gateways and agents log to standard output."""

from __future__ import annotations

from typing import IO, TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

# Decision lines are far shorter; longer lines are skipped without decoding.
MAX_LINE_BYTES = 1024 * 1024
_COMMON_FIELDS = frozenset({"event", "timestamp", "level", "request_id"})


class DecisionLine(msgspec.Struct, frozen=True):
    """One logged decision about one request."""

    event: str
    timestamp: str
    request_id: str
    # All other fields of the line, by name.
    details: dict[str, Any]


def read_decisions(files: Iterable[IO[bytes]], request_id: str) -> list[DecisionLine]:
    """Return the decisions about a request, oldest first.

    ``request_id`` may be a prefix of the full id. Lines that are not JSON objects (a
    traceback, another program's output) are skipped.
    """
    decisions: list[DecisionLine] = []
    for file in files:
        for line in file:
            decision = _parse_line(line)
            if decision is not None and decision.request_id.startswith(request_id):
                decisions.append(decision)
    return sorted(decisions, key=lambda decision: decision.timestamp)


def _parse_line(line: bytes) -> DecisionLine | None:
    # A log collector may prefix the object with its own text.
    start = line.find(b"{")
    if start < 0 or len(line) > MAX_LINE_BYTES:
        return None
    try:
        fields = msgspec.json.decode(line[start:], type=dict[str, Any])
    except (msgspec.MsgspecError, RecursionError):
        return None
    request_id = fields.get("request_id")
    if not isinstance(request_id, str) or not request_id:
        return None
    details = {name: v for name, v in fields.items() if name not in _COMMON_FIELDS}
    event, timestamp = str(fields.get("event", "")), str(fields.get("timestamp", ""))
    return DecisionLine(event, timestamp, request_id, details)
