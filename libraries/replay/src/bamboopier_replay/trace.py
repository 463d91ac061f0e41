"""The trace format: JSON lines, first a header and then one request per line.

A trace contains no API keys and no real prompts. A prompt is a list of parts, each
either literal text or a seed and a number of words, from which the same words are
always generated. Requests with the same first parts share a prefix, which is what the
replay of prompts depends on.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Literal, TypeVar

import msgspec
from result import Err, Ok, Result

from bamboopier_configuration.errors import BamboopierError

if TYPE_CHECKING:
    from pathlib import Path

T = TypeVar("T")

FORMAT_VERSION: Literal[1] = 1


class TraceError(BamboopierError):
    """An unreadable or invalid trace file; the message names the line and the error."""


class TraceHeader(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The first line of a trace."""

    bamboopier_trace: Literal[1]
    description: str = ""


class PromptPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Part of a prompt: literal ``text``, or ``words`` generated from ``seed``."""

    text: str = ""
    seed: str = ""
    words: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0


class ModelRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A completion request to a model service."""

    model: str
    prompt: list[PromptPart]
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] = 16
    stream: bool = True


class PlainRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request to a plain service."""

    method: str
    # Path at the gateway: ``/services/NAME/...``.
    path: str
    body: str = ""


class TracedRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One request. ``at`` is in seconds from the start of the trace."""

    at: Annotated[float, msgspec.Meta(ge=0)]
    workspace: str
    # Groups requests in the report and in expectations.
    tag: str
    model: ModelRequest | None = None
    plain: PlainRequest | None = None
    idempotency_key: str = ""
    timeout: Annotated[float, msgspec.Meta(gt=0, le=3600)] | None = None
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Trace:
    """A complete trace, with its requests in order of time."""

    header: TraceHeader
    requests: tuple[TracedRequest, ...]


def read_trace(path: Path) -> Result[Trace, TraceError]:
    """Read and validate a trace file; sort its requests by time."""
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        return Err(TraceError(f"{path}: {error.strerror}"))
    if not lines:
        return Err(TraceError(f"{path}: empty; allowed: a header line first"))
    header = _decode(lines[0], TraceHeader, path, 1)
    if isinstance(header, Err):
        return header
    requests: list[TracedRequest] = []
    for line_number, line in enumerate(lines[1:], start=2):
        request = _decode(line, TracedRequest, path, line_number)
        if isinstance(request, Err):
            return request
        if (request.ok_value.model is None) == (request.ok_value.plain is None):
            problem = "found both or neither of 'model' and 'plain'; allowed: one"
            return Err(TraceError(f"{path}: line {line_number}: {problem}"))
        requests.append(request.ok_value)
    ordered = tuple(sorted(requests, key=lambda request: request.at))
    return Ok(Trace(header.ok_value, ordered))


def write_trace(path: Path, trace: Trace) -> None:
    """Write a trace file."""
    lines = [msgspec.json.encode(item) for item in (trace.header, *trace.requests)]
    path.write_bytes(b"\n".join(lines) + b"\n")


def _decode(
    line: bytes, kind: type[T], path: Path, line_number: int
) -> Result[T, TraceError]:
    try:
        return Ok(msgspec.json.decode(line, type=kind))
    except msgspec.MsgspecError as error:
        return Err(TraceError(f"{path}: line {line_number}: {error}"))
